//! Consumers, which send requests to nodes.

use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::http;
use crate::http::Reader;
use crate::names::name;
use crate::record::Record;

/// A request and what its consumer received.
#[derive(Debug, Clone)]
pub struct Sent {
    pub id: String,
    pub at_ms: u64,
    pub path: String,
    /// The status of the answer; `None` if the connection ended without one.
    pub status: Option<u16>,
}

/// Sends one GET request on a new connection and returns the status of its answer.
pub fn get(to: SocketAddr, host: &str, path: &str, fields: &[(&str, &str)]) -> Option<u16> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    let mut all = vec![("Host", host), ("Connection", "close")];
    all.extend_from_slice(fields);
    http::write(&stream, &format!("GET {path} HTTP/1.1"), &all, b"").ok()?;
    let answer = Reader::new(stream).message().ok()?;
    Some(answer.status())
}

/// A consumer that keeps its connection.
#[derive(Debug)]
pub struct KeptConnection {
    stream: TcpStream,
    reader: Reader,
}

impl KeptConnection {
    /// Opens a connection to a node.
    ///
    /// # Errors
    ///
    /// Fails if the node doesn't accept it.
    pub fn open(to: SocketAddr) -> std::io::Result<KeptConnection> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(5)))?;
        let reader = Reader::new(stream.try_clone()?);
        Ok(KeptConnection { stream, reader })
    }

    /// Sends a GET request and returns the status of its answer.
    pub fn get(&mut self, host: &str, path: &str, fields: &[(&str, &str)]) -> Option<u16> {
        let mut all = vec![("Host", host)];
        all.extend_from_slice(fields);
        http::write(&self.stream, &format!("GET {path} HTTP/1.1"), &all, b"").ok()?;
        Some(self.reader.message().ok()?.status())
    }
}

/// Consumers that send requests at a steady rate, each on a new connection.
#[derive(Debug)]
pub struct Callers {
    stop: Arc<AtomicBool>,
    sent: Arc<Mutex<Vec<Sent>>>,
    next: Arc<AtomicU64>,
    record: Record,
}

impl Callers {
    /// No consumer sends anything yet.
    pub fn new(record: &Record) -> Callers {
        Callers {
            stop: Arc::default(),
            sent: Arc::default(),
            next: Arc::default(),
            record: record.clone(),
        }
    }

    /// Sends a GET request each `gap` to the address until the callers are stopped.
    pub fn start(&self, to: SocketAddr, host: &str, prefix: &str, gap: Duration) {
        self.start_as(0, to, host, prefix, gap);
    }

    /// The same with request ids that begin with the number of a machine.
    pub fn start_as(
        &self,
        machine: usize,
        to: SocketAddr,
        host: &str,
        prefix: &str,
        gap: Duration,
    ) {
        let (stop, sent) = (Arc::clone(&self.stop), Arc::clone(&self.sent));
        let (next, record) = (Arc::clone(&self.next), self.record.clone());
        let (host, prefix) = (host.to_owned(), prefix.to_owned());
        thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let (sent, record) = (Arc::clone(&sent), record.clone());
                let (host, prefix) = (host.clone(), prefix.clone());
                let id = next.fetch_add(1, Ordering::Relaxed);
                let id = format!("q{machine:02}-{id:06}");
                thread::spawn(move || send_one(to, &host, &prefix, id, &sent, &record));
                thread::sleep(gap);
            }
        });
    }

    /// Stops the consumers and returns what was sent and answered.
    pub fn finish(self) -> Vec<Sent> {
        self.stop.store(true, Ordering::Relaxed);
        thread::sleep(Duration::from_secs(2));
        self.stop()
    }

    /// Stops the consumers and returns what was answered so far.
    pub fn stop(self) -> Vec<Sent> {
        self.stop.store(true, Ordering::Relaxed);
        self.sent.lock().unwrap().clone()
    }
}

fn send_one(
    to: SocketAddr,
    host: &str,
    prefix: &str,
    id: String,
    sent: &Mutex<Vec<Sent>>,
    record: &Record,
) {
    let path = format!("{prefix}{id}");
    let at_ms = record.line(format!("sent {id} {path} to {to}"));
    let fields = [(name("request_id"), id.as_str()), (name("timeout"), "1500")];
    let status = get(to, host, &path, &fields);
    let text = status.map_or("no answer".to_owned(), |it| it.to_string());
    record.line(format!("answered {id} {text}"));
    sent.lock().unwrap().push(Sent {
        id,
        at_ms,
        path,
        status,
    });
}
