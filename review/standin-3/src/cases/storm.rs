//! Many configurations in quick succession, each with many routes.

use std::thread;
use std::time::Duration;

use super::sleep_until;
use super::target_of;
use crate::Verdict;
use crate::caller::Callers;
use crate::mesh::Deployment;
use crate::names::name;
use crate::operator;
use crate::operator::HOST;
use crate::operator::Route;
use crate::record::Record;
use crate::store::Store;
use crate::target::Runs;
use crate::target::Target;

/// Routes that get no requests: those at the start, and how many are added at a time.
const IDLE_ROUTES: usize = 800;
const ADDED_ROUTES: usize = 1_664;
const ADDITIONS: usize = 2;

/// The changes come this close together, for this long.
const GAP: Duration = Duration::from_millis(60);
const CHANGES: u64 = 25;

/// Bound for a configuration to be in force.
const APPLY_MS: u64 = 2_500;

/// Adds a route amid a series of changes and checks that it is served in time.
pub fn run(trouble: bool, record: &Record) -> std::io::Result<Verdict> {
    let services = ["desk-a", "desk-b"];
    let store = Store::start("127.0.0.1")?;
    let mut mesh = Deployment::new(
        &["desk-a", "desk-a", "desk-b", "desk-b"],
        store.addr(),
        record,
    )?;
    let runs = Runs::default();
    let mut targets = Vec::new();
    for (machine, service) in ["desk-a", "desk-a", "desk-b", "desk-b"].iter().enumerate() {
        let (cfg, entry) = target_of(&mesh, machine, service, &format!("i-{machine}"));
        targets.push(Target::start(&cfg, &runs, record)?);
        entry.register(&store);
    }
    let idle = |n: usize| {
        let service = services[n % 2];
        Route::new(
            &format!("idle-{n:06}"),
            &format!("/idle{n:06}/part{n:06}/"),
            service,
        )
    };
    let mut routes = vec![Route::new("first", "/first/", "desk-a")];
    routes.extend((0..IDLE_ROUTES).map(idle));
    operator::publish(&store, 10, &routes, &services);
    mesh.start_all()?;
    let callers = Callers::new(record);
    for machine in 0..4 {
        callers.start(
            mesh.outbound(machine),
            HOST,
            "/first/",
            Duration::from_millis(100),
        );
    }
    sleep_until(record, record.now_ms() + 5_000);
    let mut version = 12;
    for addition in 0..ADDITIONS {
        let first = IDLE_ROUTES + addition * ADDED_ROUTES;
        routes.extend((first..first + ADDED_ROUTES).map(idle));
        operator::publish(&store, version, &routes, &services);
        version += 2;
        let bytes = operator::config_text(version, &routes, &services).len();
        record.line(format!(
            "{} routes are configured, {bytes} bytes",
            routes.len()
        ));
        sleep_until(record, record.now_ms() + 6_000);
    }
    // The texts are made in advance, so that the writes keep their pace.
    let mut texts = Vec::new();
    for change in 0..if trouble { CHANGES } else { 0 } {
        // Each change moves an idle route to the other service.
        let route = &mut routes[1 + change as usize];
        route.service = services[usize::from(route.service == services[0])].to_owned();
        let text = operator::config_text(version, &routes, &services);
        texts.push((version, text));
        version += 1;
    }
    for (version, text) in texts {
        store.put(name("config_key"), &text);
        record.line(format!("acknowledged r{version}"));
        thread::sleep(GAP);
    }
    routes.push(Route::new("added", "/added/", "desk-b"));
    operator::publish(&store, version, &routes, &services);
    let acknowledged = record.line(format!("acknowledged r{version}, which adds /added/"));
    for machine in 0..4 {
        callers.start(
            mesh.outbound(machine),
            HOST,
            "/added/",
            Duration::from_millis(100),
        );
    }
    sleep_until(record, acknowledged + 15_000);
    let sent = callers.finish();
    record.line(format!(
        "largest answer to a watch: {} bytes",
        store.largest_watch()
    ));
    let late = |it: &&crate::caller::Sent| it.at_ms > acknowledged + APPLY_MS;
    let added: Vec<_> = sent
        .iter()
        .filter(|it| it.path.starts_with("/added/"))
        .collect();
    let judged: Vec<_> = added.into_iter().filter(late).collect();
    let missing = judged.iter().filter(|it| it.status == Some(404));
    let missing = missing.count();
    let text = format!(
        "{missing} of {} requests to the added route, sent over {APPLY_MS} ms after its acknowledgement, were answered 404",
        judged.len()
    );
    Ok(match missing {
        0 => Verdict::Held(text),
        _ => Verdict::Broken(text),
    })
}
