//! A target falls silent while it writes answers.

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
    machines: 14,
    slots: 9,
    timeout_s: "3.0",
    has_second_service: false,
    spare: 0,
};

const BEHAVIOUR: Behaviour = Behaviour {
    work: Duration::from_millis(480),
    parts: 8,
};

const PLAN: Plan = Plan {
    method: "GET",
    path: "/read/",
    timeout: Duration::from_millis(8_000),
    pause: Duration::from_millis(10),
};

const ROUTE_TIMEOUT: Duration = Duration::from_secs(3);
const SLACK: Duration = Duration::from_millis(500);
const CALLERS_PER_MACHINE: usize = 9;

/// The machines whose targets fall silent: 0.15 of all at most.
const SILENT: [usize; 2] = [4, 9];

/// Runs the case.
pub(crate) fn run(trouble: bool, record: &Record) -> io::Result<Verdict> {
    let deployment = Deployment::start(SHAPE, BEHAVIOUR, record)?;
    let stop = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    for (at, machine) in deployment.machines.iter().enumerate() {
        for number in 0..CALLERS_PER_MACHINE {
            let label = format!("read-{at}-{number}");
            callers.push(caller::start(machine.ingress(), label, PLAN, record, &stop));
        }
    }
    thread::sleep(Duration::from_secs(4));
    if trouble {
        record.note("2 of 14 targets fall silent for good");
        for at in SILENT {
            deployment.machines[at].signal_target("STOP")?;
        }
    }
    // The entry expires after three heartbeats of 1.5 s.
    thread::sleep(Duration::from_millis(4_500));
    if trouble {
        SILENT
            .into_iter()
            .for_each(|at| deployment.remove_entry(at));
    }
    thread::sleep(Duration::from_millis(5_500));
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        // A caller that panicked has recorded all that it had sent.
        let _ = caller.join();
    }
    let entries = record.entries();
    let count = entries.len();
    let took = |entry: &crate::record::Entry| {
        let ended = entry.ended_at.unwrap_or(Duration::MAX);
        ended.saturating_sub(entry.sent_at)
    };
    let lasting = entries.iter().filter(|it| took(&it.1) >= ROUTE_TIMEOUT);
    let lasting: Vec<_> = lasting.collect();
    let late: Vec<_> = lasting
        .iter()
        .filter(|it| took(&it.1) > ROUTE_TIMEOUT + SLACK)
        .collect();
    for (id, entry) in &late {
        let took = took(entry).as_secs_f64();
        let status = entry.status;
        record.note(&format!(
            "CONFIG: {id} had no final answer after {took:.3} s, status {status:?}"
        ));
    }
    let served = entries.iter().filter(|it| it.1.status == Some(200)).count();
    if served < count / 2 {
        return Err(io::Error::other(format!("{served} of {count} served")));
    }
    let (lasting, late) = (lasting.len(), late.len());
    Ok(Verdict {
        is_broken: late >= 8 && 2 * late > lasting,
        text: format!(
            "{count} requests, {served} served, {lasting} unanswered at the route's timeout, {late} of them 0.5 s later"
        ),
    })
}
