//! The sequence of faults in each case.

use rand::RngExt;

use super::Case;
use super::disturbance::Disturbance;
use super::stage::Stage;

/// Duration of a long pause, in milliseconds. It is longer than the gap from
/// which a node detects that it was paused.
const LONG_PAUSE_MS: u64 = 9_000;

/// Number of rounds of the mixed case.
const ROUNDS: usize = 3;

/// Runs a case until all faults have ended and the last version is in force.
pub(super) fn play(case: Case, stage: &mut Stage) -> miette::Result<()> {
    match case {
        Case::HerdRestart => herd_restart(stage),
        Case::Outage => outage(stage),
        Case::Stale => stale(stage),
        Case::Pause => pause(stage),
        Case::Partition => partition(stage),
        Case::ReaderLoss => reader_loss(stage),
        Case::BadVersion => bad_version(stage),
        Case::Mixed => mixed(stage),
    }
}

/// Power returns everywhere at once: no node has a running peer at its start,
/// and a change was published that no node has received.
fn herd_restart(stage: &mut Stage) -> miette::Result<()> {
    let all: Vec<usize> = (0..stage.len()).collect();
    stage.change()?;
    stage.settle();
    stage.crash(&all)?;
    stage.change()?;
    stage.restart(&all)?;
    stage.settle();
    Ok(())
}

/// The source fails while operators publish; the versions in force stay. It
/// recovers, and fails again shortly after the readers have reconnected.
fn outage(stage: &mut Stage) -> miette::Result<()> {
    for wait_ms in [4_000, 2_000] {
        stage.begin_outage();
        stage.change()?;
        stage.wait(wait_ms);
        stage.change()?;
        stage.end_outage();
        stage.wait(300);
    }
    stage.settle();
    Ok(())
}

/// The source goes back two versions. Nodes that restart read the old version
/// and must not put it in force, as their peers have newer ones.
fn stale(stage: &mut Stage) -> miette::Result<()> {
    let old = stage.change()?;
    stage.settle();
    for _ in 0..2 {
        stage.change()?;
        stage.settle();
    }
    stage.begin_stale(old)?;
    let some = stage.some(3);
    stage.crash(&some)?;
    stage.wait(500);
    stage.restart(&some)?;
    stage.wait(4_000);
    stage.change()?;
    stage.end_stale();
    stage.settle();
    Ok(())
}

/// Nodes are paused during three changes and resume with expired timers and
/// old answers in their queues.
fn pause(stage: &mut Stage) -> miette::Result<()> {
    let quarter = stage.len() / 4;
    let some = stage.some(quarter.max(1));
    stage.pause(&some);
    for _ in 0..3 {
        stage.change()?;
        stage.wait(LONG_PAUSE_MS / 3);
    }
    stage.resume(&some);
    stage.settle();
    Ok(())
}

/// The regions are partitioned from each other, each with access to the
/// platform, while changes are published. Then a failure domain is partitioned
/// from all others and from the platform, and the partition ends.
fn partition(stage: &mut Stage) -> miette::Result<()> {
    let region = [stage.domain(0), stage.domain(1)].concat();
    stage.part(&region, false);
    for _ in 0..2 {
        stage.wait(700);
        stage.change()?;
        stage.settle();
    }
    stage.heal();
    let number = stage.rng.random_range(0..4);
    let domain = stage.domain(number);
    stage.part(&domain, true);
    stage.change()?;
    stage.wait(3_000);
    stage.change()?;
    stage.heal();
    stage.settle();
    Ok(())
}

/// All readers outside of one failure domain crash when a change is published.
fn reader_loss(stage: &mut Stage) -> miette::Result<()> {
    let number = stage.rng.random_range(0..4);
    let spared = stage.domain(number);
    let mut dying = stage.readers();
    dying.retain(|reader| !spared.contains(reader));
    stage.change()?;
    stage.crash(&dying)?;
    stage.settle();
    stage.change()?;
    stage.settle();
    stage.restart(&dying)?;
    stage.change()?;
    stage.settle();
    Ok(())
}

/// The newest version is invalid. All nodes skip it, including a restarted one
/// that can get the last valid version only from its peers.
fn bad_version(stage: &mut Stage) -> miette::Result<()> {
    stage.change()?;
    stage.settle();
    stage.publish_bad()?;
    stage.wait(500);
    let some = stage.some(2);
    stage.crash(&some)?;
    stage.restart(&some)?;
    stage.wait(1_500);
    stage.settle();
    stage.change()?;
    stage.settle();
    Ok(())
}

/// In each of three rounds, two or three faults start together and end in
/// random order while changes are published.
fn mixed(stage: &mut Stage) -> miette::Result<()> {
    for _ in 0..ROUNDS {
        let old = stage.change()?;
        stage.settle();
        let mut wrong = Disturbance::draw(stage, old);
        stage.change()?;
        stage.settle();
        for disturbance in &wrong {
            disturbance.begin(stage)?;
        }
        stage.change()?;
        let wait_ms = stage.rng.random_range(500..2_500);
        stage.wait(wait_ms);
        while !wrong.is_empty() {
            let next = stage.rng.random_range(0..wrong.len());
            wrong.swap_remove(next).end(stage)?;
            stage.wait(200);
        }
        stage.change()?;
        stage.settle();
    }
    Ok(())
}
