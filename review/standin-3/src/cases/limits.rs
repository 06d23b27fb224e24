//! A configuration that raises the limit on the head of a request.

use std::thread;
use std::time::Duration;

use super::sleep_until;
use super::target_of;
use crate::Verdict;
use crate::caller::KeptConnection;
use crate::mesh::Deployment;
use crate::names::name;
use crate::operator;
use crate::operator::HOST;
use crate::operator::Route;
use crate::record::Record;
use crate::store::Store;
use crate::target::Runs;
use crate::target::Target;

/// Bound for a configuration to be in force.
const APPLY_MS: u64 = 2_500;

/// The limit before the change, that after it, and the field that makes a head larger than the
/// former.
const FORMER_BYTES: u32 = 8_192;
const RAISED_BYTES: u32 = 16_384;
const FIELD_BYTES: usize = 10_000;

/// Consumers of each node, each with a connection that it keeps.
const CONSUMERS: usize = 10;

/// Raises the limit and checks that kept connections take heads up to the new one.
pub fn run(trouble: bool, record: &Record) -> std::io::Result<Verdict> {
    let store = Store::start("127.0.0.1")?;
    let on = ["desk"; 4];
    let mut mesh = Deployment::new(&on, store.addr(), record)?;
    let runs = Runs::default();
    let mut targets = Vec::new();
    for (machine, service) in on.iter().enumerate() {
        let (cfg, entry) = target_of(&mesh, machine, service, &format!("i-{machine}"));
        targets.push(Target::start(&cfg, &runs, record)?);
        entry.register(&store);
    }
    let routes = [Route::new("first", "/first/", "desk")];
    let publish = |version, head_bytes| {
        let text = operator::limited_config_text(version, &routes, &["desk"], head_bytes);
        store.put(name("config_key"), &text);
        record.line(format!(
            "acknowledged r{version}: heads of up to {head_bytes} bytes"
        ))
    };
    let former = if trouble { FORMER_BYTES } else { RAISED_BYTES };
    publish(10, former);
    mesh.start_all()?;
    thread::sleep(Duration::from_secs(2));
    let mut kept = Vec::new();
    for machine in 0..on.len() {
        for _ in 0..CONSUMERS {
            kept.push(KeptConnection::open(mesh.outbound(machine))?);
        }
    }
    let mut number = 0;
    let mut send = |conn: &mut KeptConnection, value: &str| {
        let id = format!("q{number:05}");
        number += 1;
        let fields = [
            (name("request_id"), id.as_str()),
            (name("timeout"), "1500"),
            ("X-Session", value),
        ];
        record.line(format!("sent {id} with a field of {} bytes", value.len()));
        let status = conn.get(HOST, &format!("/first/{id}"), &fields);
        record.line(format!("answered {id}: {status:?}"));
        status
    };
    let mut small = |kept: &mut [KeptConnection]| {
        for conn in kept {
            send(conn, "short");
        }
    };
    small(&mut kept);
    let acknowledged = publish(12, RAISED_BYTES);
    for second in 1..=6 {
        sleep_until(record, acknowledged + second * 1_000);
        small(&mut kept);
    }
    sleep_until(record, acknowledged + APPLY_MS + 4_000);
    let large = "a".repeat(FIELD_BYTES);
    let statuses: Vec<_> = kept.iter_mut().map(|conn| send(conn, &large)).collect();
    let denied = statuses
        .iter()
        .flatten()
        .filter(|it| (400..500).contains(*it))
        .count();
    let served = statuses.iter().flatten().filter(|it| **it == 200).count();
    let total = number;
    let text = format!(
        "of {} requests on kept connections, sent over {APPLY_MS} ms after the acknowledgement and within the new limit, {denied} were ended with a 4xx and {served} were served; {total} requests in all",
        statuses.len()
    );
    // The rule allows five and one in 500 of all requests.
    Ok(match denied > 5 + total / 500 {
        false => Verdict::Held(text),
        true => Verdict::Broken(text),
    })
}
