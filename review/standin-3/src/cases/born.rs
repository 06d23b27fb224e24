//! A target that starts again under its id after its machine's time of day went back.

use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

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

/// Bound after which a draining target gets no more requests.
const DRAIN_MS: u64 = 2_500;

/// The time of day goes back by this much, for this long.
const STEP_MS: u64 = 2_400;
const STEP_FOR_MS: u64 = 6_000;

/// Period of a target that goes down and up by turns.
const FLAP_MS: u64 = 1_300;

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |it| it.as_millis() as u64)
}

/// Drains the target long after both disruptions, and checks that it gets no request later
/// than the bound.
pub fn run(trouble: bool, record: &Record) -> std::io::Result<Verdict> {
    let store = Store::start("127.0.0.1")?;
    // One of nine targets goes down and up, which is no larger a share than in the pages.
    let services: [&str; 9] = std::array::from_fn(|n| if n < 3 { "desk-a" } else { "desk-b" });
    let mut mesh = Deployment::new(&services, store.addr(), record)?;
    let runs = Runs::default();
    let mut targets = Vec::new();
    let mut entries = Vec::new();
    for machine in 0..services.len() {
        let (mut cfg, mut entry) =
            target_of(&mesh, machine, services[machine], &format!("i-{machine}"));
        cfg.work = Duration::from_millis(40);
        entry.born = Some(unix_ms());
        targets.push(Some(Target::start(&cfg, &runs, record)?));
        entry.register(&store);
        entries.push((cfg, entry));
    }
    operator::publish(
        &store,
        10,
        &[Route::new("first", "/first/", "desk-a")],
        &["desk-a", "desk-b"],
    );
    mesh.start_all()?;
    let callers = Callers::new(record);
    for machine in 0..services.len() {
        callers.start(
            mesh.outbound(machine),
            HOST,
            "/first/",
            Duration::from_millis(50),
        );
    }
    thread::sleep(Duration::from_secs(4));
    let (cfg, entry) = &mut entries[0];
    if trouble {
        // Down and up by turns; the time of day goes back during the last turn.
        let mut back = 0;
        for turn in 0..4 {
            if let Some(target) = targets[0].take() {
                record.line("target i-0 crashes");
                target.crash();
            }
            if turn == 3 {
                back = STEP_MS;
                record.line(format!(
                    "the time of day beside i-0 goes back by {STEP_MS} ms"
                ));
            }
            thread::sleep(Duration::from_millis(FLAP_MS / 2));
            targets[0] = Some(Target::start(cfg, &runs, record)?);
            entry.born = Some(unix_ms() - back);
            entry.sequence = 1;
            entry.register(&store);
            record.line(format!("i-0 is registered, born {:?}", entry.born));
            thread::sleep(Duration::from_millis(FLAP_MS / 2));
        }
        sleep_until(record, record.now_ms() + STEP_FOR_MS);
        record.line("the time of day beside i-0 is right again");
    }
    thread::sleep(Duration::from_secs(5));
    if let Some(target) = &targets[0] {
        target.leave();
    }
    entry.state = "draining";
    entry.sequence += 1;
    entry.register(&store);
    let acknowledged = record.line("acknowledged that i-0 is draining");
    sleep_until(record, acknowledged + DRAIN_MS + 3_000);
    entry.remove(&store);
    record.line("the entry of i-0 is removed");
    callers.finish();
    let runs = runs.lock().unwrap();
    let late = runs.iter().filter(|run| run.generation == "i-0");
    let late: Vec<_> = late
        .filter(|run| run.at_ms > acknowledged + DRAIN_MS)
        .collect();
    let last = late.last().map_or(0, |run| run.at_ms - acknowledged);
    let text = format!(
        "{} requests reached the draining target later than {DRAIN_MS} ms after the acknowledgement, the last after {last} ms",
        late.len()
    );
    Ok(match late.len() {
        0 => Verdict::Held(text),
        _ => Verdict::Broken(text),
    })
}
