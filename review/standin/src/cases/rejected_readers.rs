//! The store turns away the machines that read it, and serves the others.

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
use crate::deployment::SERVICES;
use crate::deployment::Shape;
use crate::record::Record;
use crate::worker::Behaviour;

const SHAPE: Shape = Shape {
    machines: 20,
    slots: 9,
    timeout_s: "1.2",
    has_second_service: true,
    spare: 0,
};

const BEHAVIOUR: Behaviour = Behaviour {
    work: Duration::from_millis(40),
    parts: 1,
};

const PLAN: Plan = Plan {
    method: "GET",
    path: "/read/",
    timeout: Duration::from_millis(2_500),
    pause: Duration::from_millis(150),
};

/// The largest part of the machines that the store turns away.
const MAX_SHARE: f64 = 0.33;

/// How long the store turns them away.
const REJECTED_FOR: Duration = Duration::from_secs(9);

/// When the configuration changes, after the store began to turn machines away.
const CHANGE_AFTER: Duration = Duration::from_millis(500);

/// The bound of a change: `configApplyS` and `stretchMaxS`.
const BOUND: Duration = Duration::from_secs(2 + 5);

/// The ordinary changes before that, which tell which machines read the store, and the pause
/// after each.
const EARLIER_CHANGES: u32 = 6;
const PAUSE: Duration = Duration::from_millis(2_500);

/// Runs the case.
pub(crate) fn run(trouble: bool, record: &Record) -> io::Result<Verdict> {
    let deployment = Deployment::start(SHAPE, BEHAVIOUR, record)?;
    let machines = &deployment.machines;
    let stop = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    for (at, machine) in machines.iter().enumerate() {
        let label = format!("read-{at}");
        callers.push(caller::start(machine.ingress(), label, PLAN, record, &stop));
    }
    thread::sleep(Duration::from_secs(10));
    let mut version = 7;
    for _ in 0..EARLIER_CHANGES {
        machines.iter().for_each(|it| {
            it.gate.take_watched();
        });
        version += 1;
        deployment.put_config(version, SERVICES[0]);
        thread::sleep(PAUSE);
    }
    let readers: Vec<usize> = (0..machines.len())
        .filter(|at| machines[*at].gate.take_watched())
        .collect();
    record.note(&format!("the machines {readers:?} have watched the store"));
    if readers.len() as f64 > MAX_SHARE * machines.len() as f64 {
        return Err(io::Error::other("too many machines read the store"));
    }
    let reject = |rejects: bool| {
        let rejects = rejects && trouble;
        readers
            .iter()
            .for_each(|at| machines[*at].gate.reject(rejects));
        record.note(&format!("the store turns these machines away: {rejects}"));
    };
    reject(true);
    thread::sleep(CHANGE_AFTER);
    version += 1;
    deployment.put_config(version, SERVICES[1]);
    let acked = record.now();
    record.note(&format!(
        "the store has acknowledged version {version}, which moves all routes"
    ));
    thread::sleep(REJECTED_FOR - CHANGE_AFTER);
    let ended = record.now();
    reject(false);
    thread::sleep(Duration::from_secs(4));
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        // A caller that panicked has recorded all that it had sent.
        let _ = caller.join();
    }
    let is_old = |target: &String| {
        let found = machines.iter().find(|it| it.target_id == *target);
        found.is_some_and(|it| it.service == SERVICES[0])
    };
    let is_reader = |id: &str| {
        let at = id.split('-').nth(1).and_then(|at| at.parse().ok());
        at.is_some_and(|at: usize| readers.contains(&at))
    };
    let entries = record.entries();
    let due = entries.iter().filter(|it| {
        let sent = it.1.sent_at;
        sent > acked + BOUND && sent < ended && !is_reader(&it.0)
    });
    let due: Vec<_> = due.collect();
    let old: Vec<_> = due
        .iter()
        .filter(|it| it.1.runs.iter().any(|run| is_old(&run.0)))
        .collect();
    for (id, entry) in &old {
        let after = (entry.sent_at - acked).as_secs_f64();
        record.note(&format!(
            "CONFIG: {id}, sent {after:.3} s after the acknowledgement, ran at the old service"
        ));
    }
    let count = entries.len();
    let served = entries.iter().filter(|it| it.1.status == Some(200)).count();
    if served < count / 2 || due.is_empty() {
        return Err(io::Error::other(format!("{served} of {count} served")));
    }
    let (due, old) = (due.len(), old.len());
    Ok(Verdict {
        is_broken: old > 0,
        text: format!(
            "{count} requests, {served} served; of {due} sent over 7 s after the acknowledgement at machines that the store serves, {old} ran at the old service"
        ),
    })
}
