//! Consumers, which send requests to the node of their machine.

use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use crate::http::Reader;
use crate::poor_link;
use crate::wire;

/// A request of a consumer, on a connection of its own.
#[derive(Debug, Clone)]
pub struct Request {
    pub method: &'static str,
    pub path: String,
    pub id: String,
    /// The time that the consumer waits.
    pub budget: Duration,
    pub pace: Option<Pace>,
}

/// How fast a slow consumer reads.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    pub bytes: usize,
    pub every: Duration,
}

/// What a consumer has seen.
#[derive(Debug, Clone)]
pub struct Seen {
    /// The status, if the head of an answer came.
    pub status: Option<u16>,
    /// Whether the whole answer came.
    pub whole: bool,
    pub took: Duration,
}

impl Seen {
    /// The answer in a few words.
    pub fn text(&self) -> String {
        let end = match (self.status, self.whole) {
            (Some(status), true) => format!("{status}"),
            (Some(status), false) => format!("{status}, incomplete"),
            (None, _) => "no answer".to_owned(),
        };
        format!("{end} after {:.3} s", self.took.as_secs_f64())
    }
}

/// Sends a request and reads the answer until the consumer gives up.
pub fn send(node: SocketAddr, host: &str, request: &Request) -> Seen {
    let begun = Instant::now();
    let mut status = None;
    let whole = exchange(node, host, request, begun, &mut status);
    Seen {
        status,
        whole: whole.is_ok(),
        took: begun.elapsed(),
    }
}

fn exchange(
    node: SocketAddr,
    host: &str,
    request: &Request,
    begun: Instant,
    status: &mut Option<u16>,
) -> io::Result<()> {
    let mut stream = match request.pace {
        Some(_) => poor_link::open(node)?,
        None => TcpStream::connect_timeout(&node, Duration::from_secs(1))?,
    };
    stream.set_nodelay(true)?;
    let body = match request.method {
        "GET" => "",
        _ => "content-length: 2\r\n",
    };
    let text = format!(
        "{} {} HTTP/1.1\r\nhost: {host}\r\n{}: {}\r\n{}: {}\r\n{body}\r\n{}",
        request.method,
        request.path,
        wire::name("id_header"),
        request.id,
        wire::name("timeout_header"),
        request.budget.as_millis(),
        if body.is_empty() { "" } else { "ok" },
    );
    stream.write_all(text.as_bytes())?;
    let mut reader = Reader::new(stream);
    reader.set_deadline(begun + request.budget);
    let closed = || io::Error::from(io::ErrorKind::UnexpectedEof);
    let head = reader.head()?.ok_or_else(closed)?;
    *status = head.second_word().parse().ok();
    let Some(pace) = request.pace else {
        return reader.body(&head).map(drop);
    };
    let mut left = head.length().unwrap_or(0);
    while left > 0 {
        let bytes = left.min(pace.bytes);
        reader.skip_by(bytes, bytes)?;
        left -= bytes;
        std::thread::sleep(pace.every);
    }
    Ok(())
}
