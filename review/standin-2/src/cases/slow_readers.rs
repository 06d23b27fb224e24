//! Some consumers read their large answers slowly; others send small requests beside them.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::Verdict;
use crate::consumer;
use crate::consumer::Pace;
use crate::consumer::Request;
use crate::consumer::Seen;
use crate::deployment::Deployment;
use crate::deployment::HOST;
use crate::deployment::Machine;
use crate::deployment::Route;
use crate::record::Record;
use crate::worker::Work;

/// Consumers of one machine that download at the same time.
const DOWNLOADS: usize = 32;

/// The bytes of a download.
const DOWNLOAD_BYTES: usize = 1_000_000;

/// How fast a slow consumer reads: 2 KB a second.
const SLOW: Pace = Pace {
    bytes: 1_024,
    every: Duration::from_millis(500),
};

/// The timeout of the routes of small requests, in seconds.
const SMALL_TIMEOUT_S: f64 = 1.0;

/// The time within which a request must have its final answer after the timeout, in seconds.
const LATE_S: f64 = 0.5;

const ROUTES: [Route; 3] = [
    Route {
        name: "download",
        kind: "download",
        service: "media-store",
        timeout_s: 12.0,
        attempts: 2,
    },
    Route {
        name: "lookup",
        kind: "safe",
        service: "media-store",
        timeout_s: SMALL_TIMEOUT_S,
        attempts: 2,
    },
    Route {
        name: "publish",
        kind: "unsafe",
        service: "media-store",
        timeout_s: SMALL_TIMEOUT_S,
        attempts: 2,
    },
];

/// The answers to the small requests, by the moments at which they were sent.
type Answers = Arc<Mutex<Vec<(f64, String, Seen)>>>;

pub fn play(root: &Path, record: &Arc<Record>, trouble: bool) -> io::Result<Verdict> {
    let small = Work {
        time: Duration::from_millis(40),
        bytes: 1_500,
    };
    let large = Work {
        time: Duration::from_millis(130),
        bytes: DOWNLOAD_BYTES,
    };
    let machines = [
        Machine {
            service: "catalogue",
            slots: 12,
            work: Vec::new(),
        },
        Machine {
            service: "media-store",
            slots: 12,
            work: vec![("download", large), ("lookup", small), ("publish", small)],
        },
    ];
    let deployment = Deployment::start(root, record, &machines, &ROUTES)?;
    let node = deployment.nodes[0].outbound();
    let base = record.now();
    let answers = Answers::default();
    let mut threads = Vec::new();
    for n in 0..DOWNLOADS {
        let pace = trouble.then_some(SLOW);
        threads.push(start_download(
            node,
            record,
            n,
            base + 3.0 + 0.1 * n as f64,
            pace,
        ));
    }
    for (n, (method, path)) in [("GET", "/lookup/1"), ("PUT", "/publish/1")]
        .into_iter()
        .enumerate()
    {
        for m in 0..4 {
            let prefix = format!("s{n}{m}");
            let request = (method, path, prefix);
            threads.push(start_consumer(node, record, request, &answers, base + 18.0));
        }
    }
    for thread in threads {
        let _ = thread.join();
    }
    judge(
        &deployment,
        &answers.lock().unwrap_or_else(PoisonError::into_inner),
    )
}

fn start_download(
    node: SocketAddr,
    record: &Arc<Record>,
    n: usize,
    at: f64,
    pace: Option<Pace>,
) -> JoinHandle<()> {
    let record = Arc::clone(record);
    std::thread::spawn(move || {
        record.sleep_until(at);
        let request = Request {
            method: "GET",
            path: "/download/1".to_owned(),
            id: format!("d-{n}"),
            budget: Duration::from_secs(15),
            pace,
        };
        record.write(&format!(
            "{} is sent, reads slowly: {}",
            request.id,
            pace.is_some()
        ));
        let answer = consumer::send(node, HOST, &request);
        record.write(&format!("{} gets {}", request.id, answer.text()));
    })
}

/// Sends small requests one after the other until `end`.
fn start_consumer(
    node: SocketAddr,
    record: &Arc<Record>,
    (method, path, prefix): (&'static str, &'static str, String),
    answers: &Answers,
    end: f64,
) -> JoinHandle<()> {
    let (record, answers) = (Arc::clone(record), Arc::clone(answers));
    std::thread::spawn(move || {
        let mut sent = 0;
        while record.now() < end {
            let request = Request {
                method,
                path: path.to_owned(),
                id: format!("{prefix}-{sent}"),
                budget: Duration::from_millis(2_500),
                pace: None,
            };
            sent += 1;
            let at = record.now();
            record.write(&format!("{} {method} {path} is sent", request.id));
            let answer = consumer::send(node, HOST, &request);
            record.write(&format!("{} gets {}", request.id, answer.text()));
            let mut answers = answers.lock().unwrap_or_else(PoisonError::into_inner);
            answers.push((at, request.id, answer));
            drop(answers);
            std::thread::sleep(Duration::from_millis(50));
        }
    })
}

fn judge(deployment: &Deployment, answers: &[(f64, String, Seen)]) -> io::Result<Verdict> {
    let record = &deployment.record;
    let ran = deployment.workers[1].ran();
    let late_by = |slack: f64| {
        let late = answers.iter();
        late.filter(move |it| it.2.took.as_secs_f64() > SMALL_TIMEOUT_S + slack)
    };
    let at_timeout = late_by(0.0).count();
    let late = late_by(LATE_S).count();
    let lost = late_by(LATE_S).filter(|it| !it.2.whole && ran.contains(&it.1));
    let lost: Vec<_> = lost.collect();
    let unsafe_ones = lost.iter().filter(|it| it.1.starts_with("s1")).count();
    record.note(&format!("{} small requests sent", answers.len()));
    record.note(&format!(
        "{at_timeout} of them had no final answer at the route's timeout, {late} none {LATE_S} s later"
    ));
    record.note(&format!(
        "{} of these had been run, {unsafe_ones} of them unsafe, and their consumers never got the answer",
        lost.len()
    ));
    Ok(match late >= 8 && late * 4 > at_timeout {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}
