//! A worker starts again under its id after its clock was set back, and leaves later.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use crate::Verdict;
use crate::consumer;
use crate::consumer::Request;
use crate::consumer::Seen;
use crate::deployment::Deployment;
use crate::deployment::HOST;
use crate::deployment::Machine;
use crate::deployment::Route;
use crate::record::Record;
use crate::worker::Work;

/// How far the time of day jumps back on the machine of the worker.
const CLOCK_STEP_MS: i64 = 2_000;

/// For how long a worker gets requests after the store has acknowledged that it leaves.
const DRAIN_S: f64 = 2.5;

/// How much longer it serves.
const SERVES_ON_S: f64 = 4.0;

const ROUTES: [Route; 2] = [
    Route {
        name: "browse",
        kind: "safe",
        service: "catalogue",
        timeout_s: 2.0,
        attempts: 2,
    },
    Route {
        name: "publish",
        kind: "unsafe",
        service: "catalogue",
        timeout_s: 2.0,
        attempts: 2,
    },
];

/// The answers to the requests, by the moments at which they were sent.
type Answers = Arc<Mutex<Vec<(f64, String, Seen)>>>;

pub fn play(root: &Path, record: &Arc<Record>, trouble: bool) -> io::Result<Verdict> {
    let work = Work {
        time: Duration::from_millis(60),
        bytes: 1_500,
    };
    let machine = Machine {
        service: "catalogue",
        slots: 12,
        work: vec![("browse", work), ("publish", work)],
    };
    let machines = vec![machine; 3];
    let deployment = Deployment::start(root, record, &machines, &ROUTES)?;
    let worker = &deployment.workers[1];
    let base = record.now();
    let seen = Answers::default();
    let end = base + 25.0;
    let traffic = start_consumers(&deployment, record, &seen, end);

    // A fresh start of the worker, as in a release, crashes within its first second.
    record.sleep_until(base + 3.0);
    worker.crash();
    record.sleep_until(base + 4.0);
    worker.start(0)?;
    record.sleep_until(base + 4.8);
    worker.crash();
    record.sleep_until(base + 5.5);
    if trouble {
        record.note(&format!(
            "the worker's clock was set back by {CLOCK_STEP_MS} ms"
        ));
    }
    worker.start(if trouble { -CLOCK_STEP_MS } else { 0 })?;

    // Everything has been calm for more than the time after which machines are in touch.
    record.sleep_until(base + 14.0);
    let drained = worker.report("draining");
    record.note("the store has acknowledged that the worker is draining");
    record.sleep_until(drained + DRAIN_S + SERVES_ON_S);
    let late: Vec<_> = worker
        .arrivals()
        .into_iter()
        .filter(|it| it.at > drained + DRAIN_S)
        .collect();
    let left = record.now();
    worker.leave();
    record.note("the worker has left");
    for thread in traffic {
        let _ = thread.join();
    }

    let seen = seen.lock().unwrap_or_else(PoisonError::into_inner);
    let failed = |it: &&(f64, String, Seen)| it.2.status != Some(200) || !it.2.whole;
    let around_exit = |it: &&(f64, String, Seen)| (it.0 - left).abs() < 1.0;
    record.note(&format!(
        "{} requests sent, {} of them failed, {} within 1 s of the worker's exit",
        seen.len(),
        seen.iter().filter(failed).count(),
        seen.iter().filter(failed).filter(around_exit).count()
    ));
    for arrival in late.iter().take(3) {
        record.note(&format!(
            "request {} reached the worker (start {}) {:.3} s after the acknowledgement",
            arrival.request,
            arrival.start,
            arrival.at - drained
        ));
    }
    record.note(&format!(
        "{} requests reached the worker later than {DRAIN_S} s after the acknowledgement",
        late.len()
    ));
    Ok(match late.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    })
}

/// Sends requests on all machines until `end`.
fn start_consumers(
    deployment: &Deployment,
    record: &Arc<Record>,
    seen: &Answers,
    end: f64,
) -> Vec<std::thread::JoinHandle<()>> {
    let mut threads = Vec::new();
    for (n, node) in deployment.nodes.iter().enumerate() {
        for (m, (method, path)) in [("GET", "/browse/1"), ("PUT", "/publish/1")]
            .into_iter()
            .enumerate()
        {
            let (addr, record, seen) = (node.outbound(), Arc::clone(record), Arc::clone(seen));
            threads.push(std::thread::spawn(move || {
                let mut sent = 0;
                while record.now() < end {
                    let request = Request {
                        method,
                        path: path.to_owned(),
                        id: format!("c{n}{m}-{sent}"),
                        budget: Duration::from_millis(2_500),
                        pace: None,
                    };
                    sent += 1;
                    let at = record.now();
                    record.write(&format!(
                        "{} {method} {path} is sent to node {n}",
                        request.id
                    ));
                    let answer = consumer::send(addr, HOST, &request);
                    record.write(&format!("{} gets {}", request.id, answer.text()));
                    let mut seen = seen.lock().unwrap_or_else(PoisonError::into_inner);
                    seen.push((at, request.id, answer));
                }
            }));
        }
    }
    threads
}
