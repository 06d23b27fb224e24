//! Callers that repeat one request that crashes each target running it.

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// The path of the request. It matches a route for lookups.
pub const CRASHING_PATH: &str = "/workshop/policies/crashing";

/// Combined with the seed of the run, so that these draws have a generator of their own.
const CRASHING_SEED: u64 = 0xc7a5_4173;

/// One run in this many has such callers.
const ONE_RUN_IN: u32 = 2;

/// When the first request is sent, in milliseconds after the start of the calls.
const FIRST_REQUEST_MS: std::ops::Range<u64> = 500..2_500;

/// The time between two requests, in milliseconds.
const INTERVAL_MS: std::ops::Range<u64> = 20..200;

/// How long a caller waits for an answer.
const CALLER_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends such requests for `length`, if the seed selects this run.
pub(super) async fn send_requests(entries: &[SocketAddr], run: &str, length: Duration, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed ^ CRASHING_SEED);
    if entries.is_empty() || rng.random_range(0..ONE_RUN_IN) != 0 {
        return;
    }
    let end = Instant::now() + length;
    let mut calls = JoinSet::new();
    tokio::time::sleep(Duration::from_millis(rng.random_range(FIRST_REQUEST_MS))).await;
    for number in 0_u64.. {
        if Instant::now() >= end {
            break;
        }
        let entry = entries[rng.random_range(0..entries.len())];
        let id = format!("{run}-crashing-{number}");
        calls.spawn(async move {
            // The result is ignored: the caller repeats the request after any answer.
            let _ = tokio::time::timeout(CALLER_TIMEOUT, send_request(entry, &id)).await;
        });
        let interval = Duration::from_millis(rng.random_range(INTERVAL_MS));
        tokio::time::sleep(interval).await;
    }
    calls.join_all().await;
}

async fn send_request(entry: SocketAddr, id: &str) -> std::io::Result<usize> {
    let mut io = TcpStream::connect(entry).await?;
    let request = format!(
        "GET {CRASHING_PATH} HTTP/1.1\r\nhost: a\r\nx-request-id: {id}\r\n\
         x-kind: lookup\r\nconnection: close\r\n\r\n"
    );
    io.write_all(request.as_bytes()).await?;
    let mut answer = Vec::new();
    io.read_to_end(&mut answer).await
}
