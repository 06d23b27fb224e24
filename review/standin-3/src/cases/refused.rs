//! A valid configuration with a value that the nodes' adapter doesn't accept.

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

/// Bound for a configuration to be in force.
const APPLY_MS: u64 = 2_500;

/// Attempts of the changed route, with and without the disruption.
const MANY_ATTEMPTS: u32 = 6;
const FEW_ATTEMPTS: u32 = 5;

/// Changes one route's attempts, moves another route and checks that the move is in force in
/// time.
pub fn run(trouble: bool, record: &Record) -> std::io::Result<Verdict> {
    let store = Store::start("127.0.0.1")?;
    let services = ["desk-a", "desk-b"];
    let on = ["desk-a", "desk-a", "desk-b", "desk-b"];
    let mut mesh = Deployment::new(&on, store.addr(), record)?;
    let runs = Runs::default();
    let mut targets = Vec::new();
    for (machine, service) in on.iter().enumerate() {
        let (cfg, entry) = target_of(&mesh, machine, service, &format!("i-{machine}"));
        targets.push(Target::start(&cfg, &runs, record)?);
        entry.register(&store);
    }
    let mut routes = vec![
        Route::new("first", "/first/", "desk-a"),
        Route::new("second", "/second/", "desk-a"),
    ];
    operator::publish(&store, 10, &routes, &services);
    mesh.start_all()?;
    let callers = Callers::new(record);
    for machine in 0..on.len() {
        callers.start(
            mesh.outbound(machine),
            HOST,
            "/first/",
            Duration::from_millis(100),
        );
    }
    thread::sleep(Duration::from_secs(4));
    let attempts = if trouble { MANY_ATTEMPTS } else { FEW_ATTEMPTS };
    routes[1].attempts = attempts;
    operator::publish(&store, 12, &routes, &services);
    record.line(format!(
        "acknowledged r12, by which /second/ has {attempts} attempts"
    ));
    thread::sleep(Duration::from_secs(4));
    routes[0].service = "desk-b".to_owned();
    operator::publish(&store, 14, &routes, &services);
    let acknowledged = record.line("acknowledged r14, by which /first/ goes to desk-b");
    sleep_until(record, acknowledged + 15_000);
    let sent = callers.finish();
    let late = sent.iter().filter(|it| it.at_ms > acknowledged + APPLY_MS);
    let late: std::collections::HashSet<&str> = late.map(|it| it.id.as_str()).collect();
    let runs = runs.lock().unwrap();
    let judged = runs
        .iter()
        .filter(|run| late.contains(run.request.as_str()));
    let (old, new): (Vec<_>, Vec<_>) = judged.partition(|run| run.service == "desk-a");
    let text = format!(
        "of {} requests sent over {APPLY_MS} ms after the acknowledgement of the move, {} were run by the old service and {} by the new one",
        late.len(),
        old.len(),
        new.len()
    );
    Ok(match old.len() {
        0 => Verdict::Held(text),
        _ => Verdict::Broken(text),
    })
}
