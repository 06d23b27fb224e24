//! The nodes that read the platform stand still for a while.

use std::collections::HashSet;
use std::thread;
use std::time::Duration;

use super::sleep_until;
use super::target_of;
use crate::Verdict;
use crate::caller::Callers;
use crate::mesh::Deployment;
use crate::operator;
use crate::operator::HOST;
use crate::operator::Route;
use crate::record::Record;
use crate::store::Store;
use crate::target::Runs;
use crate::target::Target;

/// Machines, and the most of them that stand still, for this long.
const MACHINES: usize = 76;
const MAX_FROZEN: usize = 8;
const FROZEN_MS: u64 = 3_500;

/// Changes of the configuration before, and the time between them.
const CHANGES: u64 = 4;
const CHANGE_GAP: Duration = Duration::from_secs(3);

/// Targets that drain.
const DRAINING: usize = 8;

/// Bound after which a draining target gets no more requests.
const DRAIN_MS: u64 = 2_500;

/// Drains targets of machines that aren't disturbed, and checks that they get no request from
/// such machines later than the bound.
pub fn run(trouble: bool, record: &Record) -> std::io::Result<Verdict> {
    let store = Store::start("127.0.0.1")?;
    let services = ["desk"; MACHINES];
    let mut mesh = Deployment::new(&services, store.addr(), record)?;
    let runs = Runs::default();
    let mut targets = Vec::new();
    let mut entries = Vec::new();
    for machine in 0..MACHINES {
        let (cfg, entry) = target_of(&mesh, machine, "desk", &format!("i-{machine}"));
        targets.push(Target::start(&cfg, &runs, record)?);
        entry.register(&store);
        entries.push(entry);
    }
    operator::publish(
        &store,
        10,
        &[Route::new("first", "/first/", "desk")],
        &["desk"],
    );
    mesh.start_all()?;
    let callers: Vec<Callers> = (0..MACHINES).map(|_| Callers::new(record)).collect();
    for (machine, callers) in callers.iter().enumerate() {
        callers.start_as(
            machine,
            mesh.outbound(machine),
            HOST,
            "/first/",
            Duration::from_millis(300),
        );
    }
    thread::sleep(Duration::from_secs(3));
    // Ordinary changes, each of which ends the watches of nodes that have ceased to read.
    let mut routes = vec![Route::new("first", "/first/", "desk")];
    for change in 0..CHANGES {
        thread::sleep(CHANGE_GAP);
        let key = format!("added-{change}");
        routes.push(Route::new(&key, &format!("/{key}/"), "desk"));
        operator::publish(&store, 12 + change, &routes, &["desk"]);
        record.line(format!("acknowledged r{}, which adds a route", 12 + change));
    }
    thread::sleep(Duration::from_secs(1));
    let readers = mesh.readers();
    record.line(format!("machines that read the platform: {readers:?}"));
    if readers.is_empty() || readers.len() > MAX_FROZEN {
        return Err(std::io::Error::other("not the expected readers"));
    }
    if trouble {
        readers
            .iter()
            .for_each(|machine| mesh.signal(*machine, "-STOP"));
    }
    let frozen_at = record.now_ms();
    thread::sleep(Duration::from_millis(100));
    let calm: Vec<usize> = (0..MACHINES).filter(|it| !readers.contains(it)).collect();
    let draining: Vec<usize> = calm.iter().copied().step_by(9).take(DRAINING).collect();
    for machine in &draining {
        targets[*machine].leave();
        entries[*machine].state = "draining";
        entries[*machine].sequence += 1;
        entries[*machine].register(&store);
    }
    let acknowledged = record.line(format!("acknowledged that these drain: {draining:?}"));
    sleep_until(record, frozen_at + FROZEN_MS);
    if trouble {
        readers
            .iter()
            .for_each(|machine| mesh.signal(*machine, "-CONT"));
    }
    sleep_until(record, acknowledged + DRAIN_MS + 4_000);
    let mut calm_ids = HashSet::new();
    for (machine, callers) in callers.into_iter().enumerate() {
        let sent = callers.stop();
        if calm.contains(&machine) {
            calm_ids.extend(sent.into_iter().map(|it| it.id));
        }
    }
    let names: Vec<String> = draining.iter().map(|it| format!("i-{it}")).collect();
    let runs = runs.lock().unwrap();
    let late = runs.iter().filter(|run| names.contains(&run.generation));
    let late = late.filter(|run| run.at_ms > acknowledged + DRAIN_MS);
    let late: Vec<_> = late.filter(|run| calm_ids.contains(&run.request)).collect();
    let last = late.last().map_or(0, |run| run.at_ms - acknowledged);
    let text = format!(
        "{} requests taken by undisturbed machines reached draining targets later than {DRAIN_MS} ms after the acknowledgement, the last after {last} ms",
        late.len()
    );
    Ok(match late.len() {
        0 => Verdict::Held(text),
        _ => Verdict::Broken(text),
    })
}
