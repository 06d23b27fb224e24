//! Callers that close their connection before the answer, and callers that pipeline
//! several requests over one connection.

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use sassafrasspool_bench::chaos::catalogue::KINDS;
use sassafrasspool_bench::load::CallKind;
use serde::Deserialize;
use serde::Serialize;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::Instant;

#[cfg(test)]
mod tests;

/// The time between two such callers.
const EVERY: Duration = Duration::from_millis(50);

/// Requests that are pipelined over one connection.
const TOGETHER: usize = 4;

/// How long a caller waits for the answers to pipelined requests.
const PATIENCE: Duration = Duration::from_secs(5);

/// How long after connecting a caller abandons its request, in milliseconds.
const LEAVE_MS: std::ops::Range<u64> = 1..100;

/// Counts of abandoned and pipelined requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rude {
    /// Callers that abandoned their request.
    pub left: u64,
    /// Connections with pipelined requests.
    pub together: u64,
    /// Connections with pipelined requests whose answers arrived in another order.
    pub out_of_order: u64,
}

impl Rude {
    /// Adds up two counts.
    pub fn and(self, other: Rude) -> Rude {
        Rude {
            left: self.left + other.left,
            together: self.together + other.together,
            out_of_order: self.out_of_order + other.out_of_order,
        }
    }
}

/// Sends such requests for `length`; their ids begin with `run`, which tells them from
/// those of other processes.
pub(super) async fn call(entries: &[SocketAddr], run: &str, length: Duration, seed: u64) -> Rude {
    let mut rng = SmallRng::seed_from_u64(seed);
    let end = Instant::now() + length;
    let mut calls = JoinSet::new();
    for n in 0_u64.. {
        tokio::time::sleep(EVERY).await;
        if Instant::now() >= end || entries.is_empty() {
            break;
        }
        let entry = entries[rng.random_range(0..entries.len())];
        let id = format!("{run}-rude-{n}");
        let leaves = Duration::from_millis(rng.random_range(LEAVE_MS));
        calls.spawn(async move {
            match n % 2 {
                0 => leave(entry, &id, leaves).await,
                _ => together(entry, &id).await,
            }
        });
    }
    let seen = calls.join_all().await;
    seen.into_iter().fold(Rude::default(), Rude::and)
}

/// Sends one request and closes the connection after `after`.
async fn leave(entry: SocketAddr, id: &str, after: Duration) -> Rude {
    let ids = [id.to_owned()];
    let _ = tokio::time::timeout(after, ask(entry, &ids)).await;
    Rude {
        left: 1,
        ..Rude::default()
    }
}

/// Sends several requests at once and checks the order of their answers.
async fn together(entry: SocketAddr, id: &str) -> Rude {
    let ids: Vec<String> = (0..TOGETHER).map(|n| format!("{id}-{n}")).collect();
    let answers = tokio::time::timeout(PATIENCE, ask(entry, &ids)).await;
    // Under faults a connection may break before all answers, but never reorders them.
    let text = answers.unwrap_or_default();
    Rude {
        together: 1,
        out_of_order: u64::from(!is_in_order(&text, &ids)),
        ..Rude::default()
    }
}

/// Sends one lookup for each id and reads to the end of the connection.
async fn ask(entry: SocketAddr, ids: &[String]) -> String {
    let mut text = String::new();
    let Ok(mut io) = TcpStream::connect(entry).await else {
        return text;
    };
    let requests: String = ids
        .iter()
        .enumerate()
        .map(|(n, id)| request(n + 1 == ids.len(), id))
        .collect();
    if io.write_all(requests.as_bytes()).await.is_ok() {
        // After an error, `text` holds what was read before it.
        let _ = io.read_to_string(&mut text).await;
    }
    text
}

fn request(is_last: bool, id: &str) -> String {
    // Lookups are idempotent, so nodes start them before earlier requests are answered.
    let CallKind { name, path, .. } = &KINDS[2];
    let close = if is_last { "connection: close\r\n" } else { "" };
    format!("GET {path} HTTP/1.1\r\nhost: a\r\nx-request-id: {id}\r\nx-kind: {name}\r\n{close}\r\n")
}

/// Whether the answers that arrived are in the order of their requests. The body of an
/// answer begins with the id of its request.
fn is_in_order(answers: &str, ids: &[String]) -> bool {
    let place = |id: &String| answers.find(&format!("\r\n\r\n{id}\n"));
    let places: Vec<usize> = ids.iter().filter_map(place).collect();
    places.is_sorted()
}
