//! A caller that makes calls and retries them.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::client::Client;
use super::ending::Ending;
use super::kind::CallKind;
use super::pacer::DueCall;
use super::plan::Call;
use super::record::CallRecord;
use super::request::Attempt;
use super::system_under_test::SystemUnderTest;

/// How often and when a caller retries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryPolicy {
    /// Attempts in all, the first one included.
    pub max_attempts: u32,
    /// Time between the end of an attempt and the next one.
    pub pause: Duration,
    /// Percentage of calls whose second attempt is sent without waiting for the end
    /// of the first one.
    pub overlapping_percent: u64,
    /// When the second attempt of such a call is sent, counted from the first one.
    pub overlap_after: Duration,
}

impl RetryPolicy {
    /// No retries.
    pub const NONE: RetryPolicy = RetryPolicy {
        max_attempts: 1,
        pause: Duration::ZERO,
        overlapping_percent: 0,
        overlap_after: Duration::ZERO,
    };
}

/// Makes calls, any number of them concurrently.
///
/// It retries a request, under a new request id, only where that is safe: after a
/// refusal, or if the call carries a request key or is idempotent.
#[derive(Debug)]
pub struct Caller {
    /// The client with its connections.
    pub client: Client,
    /// The system that it sends its requests to.
    pub system: SystemUnderTest,
    /// The kinds that the calls index.
    pub kinds: Vec<CallKind>,
    /// Prefix of its request ids, different from those of other runs on the same
    /// targets.
    pub run_id: String,
    /// How it retries.
    pub retry_policy: RetryPolicy,
    /// Caller timeout, which is sent with each request.
    pub timeout: Duration,
    /// How long after the timeout it still waits for the node's timeout answer.
    pub grace: Duration,
}

impl Caller {
    /// Makes a call with its retries and gives a record of each attempt.
    pub async fn call(&self, due: DueCall) -> Vec<CallRecord> {
        let mut rng = SmallRng::seed_from_u64(due.call.draw);
        let overlaps = rng.random_range(0..100) < self.retry_policy.overlapping_percent;
        if overlaps
            && self.retry_policy.max_attempts > 1
            && self.may_retry(&due.call, Ending::Unknown)
        {
            return self.overlapping_attempts(&due, &mut rng).await;
        }
        let mut records: Vec<CallRecord> = Vec::new();
        let mut due_at = due.released_at;
        for number in 1..=self.retry_policy.max_attempts {
            let record = self.attempt(&due.call, number, due_at, rng.random()).await;
            let retries = self.may_retry(&due.call, record.ending);
            records.push(record);
            if !retries {
                break;
            }
            tokio::time::sleep(self.retry_policy.pause).await;
            due_at = Instant::now();
        }
        records
    }

    /// Makes two attempts, the second without waiting for the end of the first.
    async fn overlapping_attempts(&self, due: &DueCall, rng: &mut SmallRng) -> Vec<CallRecord> {
        let first = self.attempt(&due.call, 1, due.released_at, rng.random());
        let draw = rng.random();
        let second = async {
            tokio::time::sleep(self.retry_policy.overlap_after).await;
            self.attempt(&due.call, 2, Instant::now(), draw).await
        };
        let (first, second) = tokio::join!(first, second);
        vec![first, second]
    }

    fn may_retry(&self, call: &Call, ending: Ending) -> bool {
        match ending {
            Ending::Answered | Ending::Wrong => false,
            Ending::NotRun | Ending::NotSent => true,
            Ending::Unknown | Ending::Failed | Ending::Broken | Ending::Silence => {
                call.keyed || self.kinds[call.kind].idempotent
            }
        }
    }

    async fn attempt(&self, call: &Call, number: u32, due_at: Instant, draw: u64) -> CallRecord {
        let kind = &self.kinds[call.kind];
        let attempt = Attempt::new(&self.run_id, call, kind, number, self.timeout);
        let sent_us = now_us();
        let max_wait = self.timeout + self.grace;
        let exchange = self
            .system
            .exchange(&self.client, &attempt, max_wait, draw)
            .await;
        let latency = due_at.elapsed();
        CallRecord {
            id: attempt.id,
            key: attempt.key,
            attempt: number,
            kind: kind.name,
            class: kind.class,
            weight: kind.weight,
            idempotent: kind.idempotent,
            entry: exchange.entry,
            sent_us,
            ended_us: now_us(),
            latency,
            status: exchange.status,
            ending: exchange.ending,
            detail: exchange.detail,
        }
    }
}

/// Microseconds since the Unix epoch, the clock of the targets' ledgers.
fn now_us() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_micros()).unwrap_or(u64::MAX)
}
