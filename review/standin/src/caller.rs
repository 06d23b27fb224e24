//! Callers, which send one request after the other on a kept connection.

use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::http::Conn;
use crate::names::name;
use crate::record::Record;

/// The host of all requests.
pub(crate) const HOST: &str = "ficu95.example";

/// What a caller sends, and how often.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Plan {
    pub(crate) method: &'static str,
    pub(crate) path: &'static str,
    /// How long it waits for an answer.
    pub(crate) timeout: Duration,
    /// The pause after each answer.
    pub(crate) pause: Duration,
}

/// Starts a caller, which sends requests until `stop` is set.
pub(crate) fn start(
    addr: SocketAddr,
    label: String,
    plan: Plan,
    record: &Record,
    stop: &Arc<AtomicBool>,
) -> JoinHandle<()> {
    let (record, stop) = (record.clone(), Arc::clone(stop));
    thread::spawn(move || {
        let mut kept = None;
        for number in 0.. {
            if stop.load(Ordering::Relaxed) {
                return;
            }
            let id = format!("{label}-{number}");
            match send(addr, &mut kept, &id, plan, &record) {
                Ok(()) => {}
                Err(err) => {
                    kept = None;
                    let now = record.now();
                    let text = format!("ends without a complete answer: {err}");
                    record.note_request(&id, &text, |entry| entry.ended_at = Some(now));
                }
            }
            thread::sleep(plan.pause);
        }
    })
}

fn send(
    addr: SocketAddr,
    kept: &mut Option<Conn>,
    id: &str,
    plan: Plan,
    record: &Record,
) -> io::Result<()> {
    let conn = match kept {
        Some(conn) => conn,
        None => {
            let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
            stream.set_read_timeout(Some(plan.timeout))?;
            kept.insert(Conn::new(stream))
        }
    };
    let Plan { method, path, .. } = plan;
    let (id_name, timeout_name) = (name("request_id"), name("timeout"));
    let timeout = plan.timeout.as_millis();
    let body = match method {
        "GET" => "",
        _ => "amount=120",
    };
    let length = match body.len() {
        0 => String::new(),
        len => format!("Content-Length: {len}\r\n"),
    };
    let text = format!(
        "{method} {path}{id} HTTP/1.1\r\nHost: {HOST}\r\n{id_name}: {id}\r\n{timeout_name}: {timeout}\r\n{length}\r\n{body}"
    );
    let now = record.now();
    record.note_request(id, &format!("sent to {addr}"), |entry| entry.sent_at = now);
    conn.stream.write_all(text.as_bytes())?;
    let head = conn.read_head()?;
    let got = format!("gets the head of an answer, {}", head.status());
    record.note_request(id, &got, |_| ());
    conn.read_body(&head)?;
    let (now, status) = (record.now(), head.status());
    record.note_request(id, &format!("has its answer, {status}"), |entry| {
        entry.ended_at = Some(now);
        entry.status = Some(status);
    });
    let closes = head.get("Connection").unwrap_or("");
    if closes.eq_ignore_ascii_case("close") {
        *kept = None;
    }
    Ok(())
}
