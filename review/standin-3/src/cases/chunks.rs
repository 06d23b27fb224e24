//! GET requests whose bodies are sent in chunks, or with a length without the trouble.

use std::net::TcpStream;
use std::thread;
use std::time::Duration;

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

/// The body of each request.
const BODY: &[u8] = b"what is asked for";

/// Checks that each request is run with its body.
pub fn run(trouble: bool, record: &Record) -> std::io::Result<Verdict> {
    let store = Store::start("127.0.0.1")?;
    let on = ["desk"; 3];
    let mut mesh = Deployment::new(&on, store.addr(), record)?;
    let runs = Runs::default();
    let mut targets = Vec::new();
    for (machine, service) in on.iter().enumerate() {
        let (cfg, entry) = target_of(&mesh, machine, service, &format!("i-{machine}"));
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
    thread::sleep(Duration::from_secs(1));
    for number in 0..20 {
        let stream = TcpStream::connect(mesh.outbound(number % on.len()))?;
        let id = format!("q{number:02}");
        let fields = [
            ("Host", HOST),
            (name("request_id"), id.as_str()),
            (name("timeout"), "1500"),
        ];
        let first = format!("GET /first/{id} HTTP/1.1");
        match trouble {
            true => http::write_chunked(&stream, &first, &fields, BODY)?,
            false => http::write(&stream, &first, &fields, BODY)?,
        }
        let status = Reader::new(stream).message()?.status();
        record.line(format!("answered {id}: {status}"));
    }
    let runs = runs.lock().unwrap();
    let changed = runs
        .iter()
        .filter(|run| run.body_bytes != BODY.len())
        .count();
    let text = format!(
        "of {} runs, {changed} had another body than was sent",
        runs.len()
    );
    Ok(match changed {
        0 => Verdict::Held(text),
        _ => Verdict::Broken(text),
    })
}
