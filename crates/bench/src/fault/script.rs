//! The sequence of faults in each case.

use rand::RngExt;

use super::Case;
use super::case_fleet::CaseFleet;
use super::disturbance::Disturbance;

/// Duration of a long pause, in milliseconds. It is longer than the gap from
/// which a node detects that it was paused.
const LONG_PAUSE_MS: u64 = 9_000;

/// Number of rounds of the mixed case.
const MIXED_ROUNDS: usize = 3;

/// Runs a case until all faults have ended and the last version is in force.
pub(super) fn run_case(case: Case, fleet: &mut CaseFleet) -> miette::Result<()> {
    match case {
        Case::HerdRestart => herd_restart(fleet),
        Case::Outage => outage(fleet),
        Case::Stale => stale(fleet),
        Case::Pause => pause(fleet),
        Case::Partition => partition(fleet),
        Case::ReaderLoss => reader_loss(fleet),
        Case::BadVersion => bad_version(fleet),
        Case::Mixed => mixed(fleet),
    }
}

/// Power returns everywhere at once: no node has a running peer at its start,
/// and a change was published that no node has received.
fn herd_restart(fleet: &mut CaseFleet) -> miette::Result<()> {
    let all: Vec<usize> = (0..fleet.len()).collect();
    fleet.publish_change()?;
    fleet.wait_until_in_force();
    fleet.crash(&all)?;
    fleet.publish_change()?;
    fleet.restart(&all)?;
    fleet.wait_until_in_force();
    Ok(())
}

/// The source fails while operators publish; the versions in force stay. It
/// recovers, and fails again shortly after the readers have reconnected.
fn outage(fleet: &mut CaseFleet) -> miette::Result<()> {
    for wait_ms in [4_000, 2_000] {
        fleet.begin_outage();
        fleet.publish_change()?;
        fleet.sleep_ms(wait_ms);
        fleet.publish_change()?;
        fleet.end_outage();
        fleet.sleep_ms(300);
    }
    fleet.wait_until_in_force();
    Ok(())
}

/// The source goes back two versions. Nodes that restart read the old version
/// and must not put it in force, as their peers have newer ones.
fn stale(fleet: &mut CaseFleet) -> miette::Result<()> {
    let old = fleet.publish_change()?;
    fleet.wait_until_in_force();
    for _ in 0..2 {
        fleet.publish_change()?;
        fleet.wait_until_in_force();
    }
    fleet.begin_stale(old)?;
    let restarted = fleet.draw_nodes(3);
    fleet.crash(&restarted)?;
    fleet.sleep_ms(500);
    fleet.restart(&restarted)?;
    fleet.sleep_ms(4_000);
    fleet.publish_change()?;
    fleet.end_stale();
    fleet.wait_until_in_force();
    Ok(())
}

/// Nodes are paused during three changes and resume with expired timers and
/// old answers in their queues.
fn pause(fleet: &mut CaseFleet) -> miette::Result<()> {
    let quarter = fleet.len() / 4;
    let paused = fleet.draw_nodes(quarter.max(1));
    fleet.pause(&paused);
    for _ in 0..3 {
        fleet.publish_change()?;
        fleet.sleep_ms(LONG_PAUSE_MS / 3);
    }
    fleet.resume(&paused);
    fleet.wait_until_in_force();
    Ok(())
}

/// The regions are partitioned from each other, each with access to the
/// platform, while changes are published. Then a failure domain is partitioned
/// from all others and from the platform, and the partition ends.
fn partition(fleet: &mut CaseFleet) -> miette::Result<()> {
    let region = [fleet.nodes_of_domain(0), fleet.nodes_of_domain(1)].concat();
    fleet.partition(&region, false);
    for _ in 0..2 {
        fleet.sleep_ms(700);
        fleet.publish_change()?;
        fleet.wait_until_in_force();
    }
    fleet.end_partition();
    let number = fleet.rng.random_range(0..4);
    let domain = fleet.nodes_of_domain(number);
    fleet.partition(&domain, true);
    fleet.publish_change()?;
    fleet.sleep_ms(3_000);
    fleet.publish_change()?;
    fleet.end_partition();
    fleet.wait_until_in_force();
    Ok(())
}

/// All readers outside of one failure domain crash when a change is published.
fn reader_loss(fleet: &mut CaseFleet) -> miette::Result<()> {
    let number = fleet.rng.random_range(0..4);
    let spared = fleet.nodes_of_domain(number);
    let mut crashed = fleet.readers();
    crashed.retain(|reader| !spared.contains(reader));
    fleet.publish_change()?;
    fleet.crash(&crashed)?;
    fleet.wait_until_in_force();
    fleet.publish_change()?;
    fleet.wait_until_in_force();
    fleet.restart(&crashed)?;
    fleet.publish_change()?;
    fleet.wait_until_in_force();
    Ok(())
}

/// The newest version is invalid. All nodes skip it, including a restarted one
/// that can get the last valid version only from its peers.
fn bad_version(fleet: &mut CaseFleet) -> miette::Result<()> {
    fleet.publish_change()?;
    fleet.wait_until_in_force();
    fleet.publish_bad()?;
    fleet.sleep_ms(500);
    let restarted = fleet.draw_nodes(2);
    fleet.crash(&restarted)?;
    fleet.restart(&restarted)?;
    fleet.sleep_ms(1_500);
    fleet.wait_until_in_force();
    fleet.publish_change()?;
    fleet.wait_until_in_force();
    Ok(())
}

/// In each of three rounds, two or three faults start together and end in
/// random order while changes are published.
fn mixed(fleet: &mut CaseFleet) -> miette::Result<()> {
    for _ in 0..MIXED_ROUNDS {
        let old = fleet.publish_change()?;
        fleet.wait_until_in_force();
        let mut active = Disturbance::draw(fleet, old);
        fleet.publish_change()?;
        fleet.wait_until_in_force();
        for disturbance in &active {
            disturbance.begin(fleet)?;
        }
        fleet.publish_change()?;
        let wait_ms = fleet.rng.random_range(500..2_500);
        fleet.sleep_ms(wait_ms);
        while !active.is_empty() {
            let next = fleet.rng.random_range(0..active.len());
            active.swap_remove(next).end(fleet)?;
            fleet.sleep_ms(200);
        }
        fleet.publish_change()?;
        fleet.wait_until_in_force();
    }
    Ok(())
}
