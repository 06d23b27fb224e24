//! Entries of another writer, with a service that isn't configured.

use std::thread;
use std::time::Duration;

use super::target_of;
use crate::Verdict;
use crate::caller::Callers;
use crate::mesh::Deployment;
use crate::operator;
use crate::operator::Entry;
use crate::operator::HOST;
use crate::operator::Route;
use crate::record::Record;
use crate::store::Store;
use crate::target::Runs;
use crate::target::Target;

/// Time after the return of the machines from which requests are judged.
const RECOVER_MS: u64 = 15_000;

/// Kills all nodes at the end, and checks that requests are served again.
pub fn run(trouble: bool, record: &Record) -> std::io::Result<Verdict> {
    let store = Store::start("127.0.0.1")?;
    let services = ["desk", "desk", "desk", "desk"];
    let mut mesh = Deployment::new(&services, store.addr(), record)?;
    let runs = Runs::default();
    let mut targets = Vec::new();
    let mut entries = Vec::new();
    for machine in 0..services.len() {
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
    let callers = Callers::new(record);
    for machine in 0..services.len() {
        callers.start(
            mesh.outbound(machine),
            HOST,
            "/first/",
            Duration::from_millis(100),
        );
    }
    thread::sleep(Duration::from_secs(5));
    let fault = record.line("final fault: all nodes are killed");
    for machine in 0..services.len() {
        mesh.kill(machine);
    }
    thread::sleep(Duration::from_millis(700));
    for machine in 0..services.len() {
        mesh.start_node(machine)?;
    }
    let back = record.line("all nodes are started again");
    if trouble {
        for entry in &entries {
            let foreign = Entry {
                id: format!("agent-{}", entry.id),
                service: "inventory".to_owned(),
                addr: (entry.addr.ip(), 9_100).into(),
                ..entry.clone()
            };
            foreign.register(&store);
            record.line(format!(
                "another writer registers {} at {}",
                foreign.id, foreign.addr
            ));
        }
    }
    super::sleep_until(record, back + RECOVER_MS + 5_000);
    let sent = callers.finish();
    let share = |from: u64, to: u64| {
        let judged = sent.iter().filter(|it| it.at_ms >= from && it.at_ms < to);
        let judged: Vec<_> = judged.collect();
        let served = judged.iter().filter(|it| it.status == Some(200)).count();
        (served, judged.len())
    };
    let (before, sent_before) = share(0, fault);
    let (after, sent_after) = share(back + RECOVER_MS, u64::MAX);
    let text = format!(
        "served before the final fault: {before} of {sent_before}; later than {RECOVER_MS} ms after the nodes' return: {after} of {sent_after}"
    );
    let broken = after * 4 < sent_after && before * 4 >= sent_before;
    Ok(match broken {
        true => Verdict::Broken(text),
        false => Verdict::Held(text),
    })
}
