//! A target starts again under its id after the time of day on its machine was set back, and
//! leaves later.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::caller;
use crate::caller::Plan;
use crate::cases::Verdict;
use crate::deployment::Deployment;
use crate::deployment::Shape;
use crate::record::Record;
use crate::worker::Behaviour;

const SHAPE: Shape = Shape {
    machines: 5,
    slots: 9,
    timeout_s: "2.5",
    has_second_service: false,
    spare: 1,
};

const BEHAVIOUR: Behaviour = Behaviour {
    work: Duration::from_millis(160),
    parts: 1,
};

const PLAN: Plan = Plan {
    method: "POST",
    path: "/pay/",
    timeout: Duration::from_millis(3_000),
    pause: Duration::from_millis(10),
};

/// The machine that is added. Its clock is ahead at first.
const ADDED: usize = 4;

/// How far the clock of that machine is ahead, in milliseconds.
const AHEAD_MS: u64 = 2_400;

/// The bound of a departure: `drainS`.
const BOUND: Duration = Duration::from_secs(2);

/// How long the leaving target serves after the acknowledgement, before it exits.
const SERVES_FOR: Duration = Duration::from_secs(6);

const CALLERS_PER_MACHINE: usize = 8;

/// Runs the case.
pub(crate) fn run(trouble: bool, record: &Record) -> io::Result<Verdict> {
    let mut deployment = Deployment::start(SHAPE, BEHAVIOUR, record)?;
    deployment.machines[ADDED].kill_target()?;
    let stop = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    for (at, machine) in deployment.machines.iter().enumerate().take(ADDED) {
        for number in 0..CALLERS_PER_MACHINE {
            let label = format!("pay-{at}-{number}");
            callers.push(caller::start(machine.ingress(), label, PLAN, record, &stop));
        }
    }
    thread::sleep(Duration::from_secs(2));
    record.note("a target is added");
    deployment.restart_target(ADDED, BEHAVIOUR)?;
    if trouble {
        deployment.machines[ADDED].born += AHEAD_MS;
        record.note("the clock of its machine is 2.4 s ahead");
    }
    deployment.put_entry(ADDED, "ready", 1);
    thread::sleep(Duration::from_millis(800));
    if trouble {
        record.note("the clock of its machine jumps back; the target crashes");
        deployment.machines[ADDED].kill_target()?;
        thread::sleep(Duration::from_millis(800));
        record.note("it starts again under the id that it had");
        deployment.restart_target(ADDED, BEHAVIOUR)?;
        deployment.put_entry(ADDED, "ready", 1);
    }
    thread::sleep(Duration::from_secs(6));
    deployment.put_entry(ADDED, "draining", 5);
    let acked = record.now();
    record.note("the store has acknowledged that it is draining");
    thread::sleep(SERVES_FOR);
    deployment.machines[ADDED].kill_target()?;
    let exited = record.now();
    record.note("it exits");
    deployment.remove_entry(ADDED);
    thread::sleep(Duration::from_secs(3));
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        // A caller that panicked has recorded all that it had sent.
        let _ = caller.join();
    }
    let added = &deployment.machines[ADDED].target_id;
    let entries = record.entries();
    let mut before = 0;
    let mut late = 0;
    let mut lost = 0;
    for (id, entry) in &entries {
        let there = entry.runs.iter().filter(|run| run.0 == *added);
        let Some((_, at)) = there.last() else {
            continue;
        };
        before += u32::from(*at < acked);
        if *at <= acked + BOUND {
            continue;
        }
        late += 1;
        let after = (*at - acked).as_secs_f64();
        record.note(&format!(
            "DRAIN: {id} reached the target {after:.3} s after"
        ));
        if entry.ended_at.is_none_or(|ended| ended > exited) && entry.status != Some(200) {
            lost += 1;
            record.note(&format!(
                "its outcome is unknown: status {:?}",
                entry.status
            ));
        }
    }
    let count = entries.len();
    let served = entries.iter().filter(|it| it.1.status == Some(200)).count();
    if served < count / 2 || before == 0 {
        return Err(io::Error::other(format!("{served} of {count} served")));
    }
    Ok(Verdict {
        is_broken: late > 0,
        text: format!(
            "{count} unsafe requests, {served} served, {before} by the target before it drained; {late} reached it more than 2 s after the acknowledgement, {lost} of them were lost with it"
        ),
    })
}
