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
const INTERVAL: Duration = Duration::from_millis(50);

/// Requests that are pipelined over one connection.
const PIPELINED_REQUESTS: usize = 4;

/// How long a caller waits for the answers to pipelined requests.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// How long after connecting a caller abandons its request, in milliseconds.
const ABANDON_AFTER_MS: std::ops::Range<u64> = 1..100;

/// Counts of abandoned and pipelined requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct IrregularCallStats {
    /// Callers that abandoned their request.
    #[serde(rename = "left")]
    pub abandoned: u64,
    /// Connections with pipelined requests.
    #[serde(rename = "together")]
    pub pipelined: u64,
    /// Connections with pipelined requests whose answers arrived in another order.
    pub out_of_order: u64,
}

impl IrregularCallStats {
    /// Adds up two counts.
    pub fn merge(self, other: IrregularCallStats) -> IrregularCallStats {
        IrregularCallStats {
            abandoned: self.abandoned + other.abandoned,
            pipelined: self.pipelined + other.pipelined,
            out_of_order: self.out_of_order + other.out_of_order,
        }
    }
}

/// Sends such requests for `length`; their ids begin with `run`, which tells them from
/// those of other processes.
pub(super) async fn send_requests(
    entries: &[SocketAddr],
    run: &str,
    length: Duration,
    seed: u64,
) -> IrregularCallStats {
    let mut rng = SmallRng::seed_from_u64(seed);
    let end = Instant::now() + length;
    let mut calls = JoinSet::new();
    for n in 0_u64.. {
        tokio::time::sleep(INTERVAL).await;
        if Instant::now() >= end || entries.is_empty() {
            break;
        }
        let entry = entries[rng.random_range(0..entries.len())];
        let id = format!("{run}-rude-{n}");
        let abandon_after = Duration::from_millis(rng.random_range(ABANDON_AFTER_MS));
        calls.spawn(async move {
            match n % 2 {
                0 => abandon(entry, &id, abandon_after).await,
                _ => pipeline(entry, &id).await,
            }
        });
    }
    let counts = calls.join_all().await;
    counts
        .into_iter()
        .fold(IrregularCallStats::default(), IrregularCallStats::merge)
}

/// Sends one request and closes the connection after `after`.
async fn abandon(entry: SocketAddr, id: &str, after: Duration) -> IrregularCallStats {
    let ids = [id.to_owned()];
    let _ = tokio::time::timeout(after, send_and_read(entry, &ids)).await;
    IrregularCallStats {
        abandoned: 1,
        ..IrregularCallStats::default()
    }
}

/// Sends several requests at once and checks the order of their answers.
async fn pipeline(entry: SocketAddr, id: &str) -> IrregularCallStats {
    let ids: Vec<String> = (0..PIPELINED_REQUESTS)
        .map(|n| format!("{id}-{n}"))
        .collect();
    let answers = tokio::time::timeout(READ_TIMEOUT, send_and_read(entry, &ids)).await;
    // Under faults a connection may break before all answers, but never reorders them.
    let text = answers.unwrap_or_default();
    IrregularCallStats {
        pipelined: 1,
        out_of_order: u64::from(!is_in_order(&text, &ids)),
        ..IrregularCallStats::default()
    }
}

/// Sends one lookup for each id and reads to the end of the connection.
async fn send_and_read(entry: SocketAddr, ids: &[String]) -> String {
    let mut text = String::new();
    let Ok(mut io) = TcpStream::connect(entry).await else {
        return text;
    };
    let requests: String = ids
        .iter()
        .enumerate()
        .map(|(n, id)| format_request(n + 1 == ids.len(), id))
        .collect();
    if io.write_all(requests.as_bytes()).await.is_ok() {
        // After an error, `text` holds what was read before it.
        let _ = io.read_to_string(&mut text).await;
    }
    text
}

fn format_request(is_last: bool, id: &str) -> String {
    // Lookups are idempotent, so nodes start them before earlier requests are answered.
    let CallKind { name, path, .. } = &KINDS[2];
    let close = if is_last { "connection: close\r\n" } else { "" };
    format!("GET {path} HTTP/1.1\r\nhost: a\r\nx-request-id: {id}\r\nx-kind: {name}\r\n{close}\r\n")
}

/// Whether the answers that arrived are in the order of their requests. The body of an
/// answer begins with the id of its request.
fn is_in_order(answers: &str, ids: &[String]) -> bool {
    let position = |id: &String| answers.find(&format!("\r\n\r\n{id}\n"));
    let positions: Vec<usize> = ids.iter().filter_map(position).collect();
    positions.is_sorted()
}
