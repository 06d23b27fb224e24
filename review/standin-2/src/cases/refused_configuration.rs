//! A configuration adds a route whose requests may be sent to six workers.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::Verdict;
use crate::consumer;
use crate::consumer::Request;
use crate::deployment::Deployment;
use crate::deployment::HOST;
use crate::deployment::Machine;
use crate::deployment::Route;
use crate::record::Record;
use crate::worker::Work;

/// The time within which a configuration must be in force, in seconds.
const CONFIG_APPLY_S: f64 = 2.5;

/// How many workers the added route allows.
const ATTEMPTS: u32 = 6;

/// The same without the disruption.
const USUAL_ATTEMPTS: u32 = 2;

/// The moments at which the requests were sent, their ids and statuses.
type Answers = Arc<Mutex<Vec<(f64, String, Option<u16>)>>>;

pub fn play(root: &Path, record: &Arc<Record>, trouble: bool) -> io::Result<Verdict> {
    let work = Work {
        time: Duration::from_millis(20),
        bytes: 1_500,
    };
    let machine = |service| Machine {
        service,
        slots: 12,
        work: vec![("browse", work), ("search", work)],
    };
    let mut machines = vec![machine("catalogue"); 2];
    machines.extend(vec![machine("publishing"); 7]);
    let first = [
        route("browse", "catalogue", USUAL_ATTEMPTS),
        route("details", "catalogue", USUAL_ATTEMPTS),
        route("publish", "publishing", USUAL_ATTEMPTS),
    ];
    let attempts = match trouble {
        true => ATTEMPTS,
        false => USUAL_ATTEMPTS,
    };
    let second = [
        route("browse", "publishing", USUAL_ATTEMPTS),
        route("details", "catalogue", USUAL_ATTEMPTS),
        route("publish", "publishing", USUAL_ATTEMPTS),
        route("search", "publishing", attempts),
    ];
    let deployment = Deployment::start(root, record, &machines, &first)?;
    let base = record.now();
    let answers = Answers::default();
    let threads = start_consumers(&deployment, &answers, base + 18.0);
    record.sleep_until(base + 5.0);
    record.note(&format!(
        "r8 moves /browse/ to publishing and adds /search/ with attempts {attempts}"
    ));
    let changed = deployment.publish(8, &second);
    for thread in threads {
        let _ = thread.join();
    }
    judge(
        &deployment,
        &answers.lock().unwrap_or_else(PoisonError::into_inner),
        changed,
    )
}

fn route(name: &'static str, service: &'static str, attempts: u32) -> Route {
    Route {
        name,
        kind: "safe",
        service,
        timeout_s: 1.0,
        attempts,
    }
}

/// Sends requests on all machines until `end`.
fn start_consumers(deployment: &Deployment, answers: &Answers, end: f64) -> Vec<JoinHandle<()>> {
    let mut threads = Vec::new();
    for (n, node) in deployment.nodes.iter().enumerate() {
        for path in ["browse", "search"] {
            let addr = node.outbound();
            let (record, answers) = (Arc::clone(&deployment.record), Arc::clone(answers));
            threads.push(std::thread::spawn(move || {
                let mut sent = 0;
                while record.now() < end {
                    let request = Request {
                        method: "GET",
                        path: format!("/{path}/1"),
                        id: format!("{path}-{n}-{sent}"),
                        budget: Duration::from_millis(2_500),
                        pace: None,
                    };
                    sent += 1;
                    let at = record.now();
                    record.write(&format!("{} is sent to node {n}", request.id));
                    let answer = consumer::send(addr, HOST, &request);
                    record.write(&format!("{} gets {}", request.id, answer.text()));
                    let mut answers = answers.lock().unwrap_or_else(PoisonError::into_inner);
                    answers.push((at, request.id, answer.status));
                    drop(answers);
                    std::thread::sleep(Duration::from_millis(100));
                }
            }));
        }
    }
    threads
}

fn judge(
    deployment: &Deployment,
    answers: &[(f64, String, Option<u16>)],
    changed: f64,
) -> io::Result<Verdict> {
    let record = &deployment.record;
    let old_workers = &deployment.workers[..2];
    let ran_at_old: Vec<String> = old_workers.iter().flat_map(|worker| worker.ran()).collect();
    let late: Vec<_> = answers
        .iter()
        .filter(|it| it.0 > changed + CONFIG_APPLY_S)
        .collect();
    let moved = late.iter().filter(|it| it.1.starts_with("browse"));
    let at_old = moved
        .clone()
        .filter(|it| ran_at_old.contains(&it.1))
        .count();
    let added = late.iter().filter(|it| it.1.starts_with("search"));
    let not_found = added.clone().filter(|it| it.2 == Some(404)).count();
    record.note(&format!(
        "of {} requests on the moved route sent later than {CONFIG_APPLY_S} s after the acknowledgement, {at_old} ran at the old service",
        moved.count()
    ));
    record.note(&format!(
        "of {} requests on the added route, {not_found} were refused with 404",
        added.count()
    ));
    Ok(match at_old + not_found == 0 {
        true => Verdict::Held,
        false => Verdict::Broken,
    })
}
