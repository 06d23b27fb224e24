//! Targets that truncate a few of their answers and leave the connections open.

use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use super::sleep_until;
use super::target_of;
use crate::Verdict;
use crate::http;
use crate::http::Reader;
use crate::mesh::Deployment;
use crate::names::name;
use crate::operator;
use crate::operator::HOST;
use crate::operator::Route;
use crate::record::Record;
use crate::store::Store;
use crate::target::Runs;
use crate::target::Target;

/// The route's timeout, the time after it at which a request has to have ended, and the time
/// budget of consumers.
const TIMEOUT: Duration = Duration::from_millis(1_200);
const SLACK: Duration = Duration::from_millis(500);
const BUDGET: Duration = Duration::from_millis(2_500);

/// One answer in this many of the faulty targets is truncated, for this long.
const TRUNCATES_EACH: u64 = 40;
const FAULTY_MS: u64 = 5_000;

/// When the request of a consumer ended.
type Ends = Arc<Mutex<Vec<Duration>>>;

/// Checks that requests without an answer end soon after their route's timeout.
pub fn run(trouble: bool, record: &Record) -> std::io::Result<Verdict> {
    let store = Store::start("127.0.0.1")?;
    let on = ["desk"; 6];
    let mut mesh = Deployment::new(&on, store.addr(), record)?;
    let runs = Runs::default();
    let mut targets = Vec::new();
    for (machine, service) in on.iter().enumerate() {
        let (mut cfg, entry) = target_of(&mesh, machine, service, &format!("i-{machine}"));
        cfg.truncates_each = TRUNCATES_EACH;
        targets.push(Target::start(&cfg, &runs, record)?);
        entry.register(&store);
    }
    operator::publish(
        &store,
        10,
        &[Route::new("first", "/first/", "desk")],
        &["desk"],
    );
    mesh.start_all()?;
    thread::sleep(Duration::from_secs(2));
    let start = record.now_ms();
    let ends = Ends::default();
    let mut sending = Vec::new();
    let mut number = 0;
    let mut faulty = false;
    while record.now_ms() < start + 12_000 {
        let since = record.now_ms() - start;
        let is_faulty = trouble && (3_000..3_000 + FAULTY_MS).contains(&since);
        if is_faulty != faulty {
            faulty = is_faulty;
            targets
                .iter()
                .step_by(2)
                .for_each(|it| it.set_faulty(faulty));
            record.line(format!("every second target truncates answers: {faulty}"));
        }
        for machine in 0..on.len() {
            number += 1;
            let (to, record) = (mesh.outbound(machine), record.clone());
            let (ends, id) = (Arc::clone(&ends), format!("q{number:05}"));
            sending.push(thread::spawn(move || send_one(to, &id, &record, &ends)));
        }
        sleep_until(record, start + since + 25);
    }
    for consumer in sending {
        let _ = consumer.join();
    }
    let ends = ends.lock().unwrap();
    let unanswered = ends.iter().filter(|it| **it > TIMEOUT).count();
    let late = ends.iter().filter(|it| **it > TIMEOUT + SLACK).count();
    let text = format!(
        "of {} requests, {unanswered} were unanswered at their route's timeout, and {late} of these had no end {} ms later",
        ends.len(),
        SLACK.as_millis()
    );
    Ok(match late >= 8 && late * 2 > unanswered {
        false => Verdict::Held(text),
        true => Verdict::Broken(text),
    })
}

/// Sends a request and waits for its end, at most for the time budget.
fn send_one(to: SocketAddr, id: &str, record: &Record, ends: &Ends) {
    record.line(format!("sent {id}"));
    let sent = Instant::now();
    let answered = exchange(to, id, sent);
    let took = sent.elapsed();
    let text = match answered {
        Ok(status) => format!("answered {id}: {status}"),
        Err(err) => format!("{id} ends without a whole answer: {err}"),
    };
    record.line(format!("{text}, after {} ms", took.as_millis()));
    ends.lock().unwrap().push(took);
}

fn exchange(to: SocketAddr, id: &str, sent: Instant) -> std::io::Result<u16> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(BUDGET.saturating_sub(sent.elapsed())))?;
    let budget = BUDGET.as_millis().to_string();
    let fields = [
        ("Host", HOST),
        (name("request_id"), id),
        (name("timeout"), budget.as_str()),
    ];
    let first = format!("GET /first/{id} HTTP/1.1");
    http::write(&stream, &first, &fields, b"")?;
    Ok(Reader::new(stream).message()?.status())
}
