//! Callers that fetch large answers in bursts. Some read slowly, some stop reading for a time,
//! and refused ones come back.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use sassafrasspool_bench::chaos::callers::TIMEOUT_GRACE;
use sassafrasspool_bench::load::Call;
use sassafrasspool_bench::load::CallRecord;
use sassafrasspool_bench::load::Caller;
use sassafrasspool_bench::load::Client;
use sassafrasspool_bench::load::EntryNodes;
use sassafrasspool_bench::load::Plan;
use sassafrasspool_bench::load::ReadPace;
use sassafrasspool_bench::load::RetryPolicy;
use sassafrasspool_bench::load::SystemUnderTest;
use tokio::task::JoinSet;

use super::CallerJob;
use crate::catalogue::DOWNLOAD;

#[cfg(test)]
mod tests;

/// Combined with the seed of the run, so that these draws have a generator of their own and the
/// other calls of a seed stay the same.
const DOWNLOAD_SEED: u64 = 0xd0a1_10ad;

/// Downloads per other call within a burst.
const DOWNLOADS_PER_CALL: f64 = 1.0 / 16.0;

/// One planned download in this many is made outside of bursts.
const ONE_BETWEEN_BURSTS_IN: u64 = 6;

/// The time from the start of one burst to the start of the next, and its length, in milliseconds.
const BURST_INTERVAL_MS: u128 = 4_000;
const BURST_MS: u128 = 2_000;

/// The timeout of a call. A third of it, up to which a caller waits to come back, is longer than
/// one second, the shortest `Retry-After` of a node.
const TIMEOUT: Duration = Duration::from_secs(4);

/// Fetches large answers for `length` and returns a record of each attempt; the request ids
/// begin with `run`.
pub(super) async fn fetch(job: &CallerJob, run: &str, length: Duration) -> Vec<CallRecord> {
    let caller = Arc::new(Caller {
        client: Client::default(),
        system: SystemUnderTest::Nodes(EntryNodes::new(job.entries.clone())),
        kinds: vec![DOWNLOAD],
        run_id: format!("{run}-download"),
        retry_policy: RetryPolicy::NONE,
        timeout: TIMEOUT,
        grace: TIMEOUT_GRACE,
    });
    let start = tokio::time::Instant::now();
    let mut calls = JoinSet::new();
    for call in plan(job, length) {
        tokio::time::sleep_until(start + call.due).await;
        let caller = Arc::clone(&caller);
        let mut rng = SmallRng::seed_from_u64(call.draw);
        let (pace, is_impatient) = (ReadPace::draw(&mut rng), rng.random_ratio(1, 4));
        calls.spawn(async move { caller.call_and_return(&call, pace, is_impatient).await });
    }
    calls.join_all().await.into_iter().flatten().collect()
}

/// The downloads of one process. The bursts of all processes of a run coincide.
fn plan(job: &CallerJob, length: Duration) -> impl Iterator<Item = Call> {
    let seed = job.seed.wrapping_mul(1_000).wrapping_add(job.number) ^ DOWNLOAD_SEED;
    let rate_per_s = job.rate_per_s * DOWNLOADS_PER_CALL;
    let first_burst = u128::from(job.seed ^ DOWNLOAD_SEED) % BURST_INTERVAL_MS;
    let is_made = move |call: &Call| {
        let into_burst = (call.due.as_millis() + first_burst) % BURST_INTERVAL_MS;
        into_burst < BURST_MS || call.draw.is_multiple_of(ONE_BETWEEN_BURSTS_IN)
    };
    Plan::new(&[DOWNLOAD], rate_per_s, length, seed)
        .filter(is_made)
        .map(|call| Call {
            answer_bytes: skewed(call.answer_bytes),
            ..call
        })
}

/// Skews a uniformly drawn size, so that it is a sixth of the largest on average.
fn skewed(bytes: usize) -> usize {
    let largest = DOWNLOAD.answer_bytes as f64;
    (largest * (bytes as f64 / largest).powi(5)) as usize
}
