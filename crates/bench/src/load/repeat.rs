//! Callers that try again.

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
use super::pacer::Due;
use super::plan::Call;
use super::record::CallRecord;
use super::request::Attempt;
use super::way::Way;

/// How often and when a caller tries again.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Repeats {
    /// Attempts in all, the first one counted.
    pub attempts: u32,
    /// How long it waits between attempts.
    pub pause: Duration,
    /// Calls of 100 whose caller doesn't await the first attempt's end before
    /// it sends the second one.
    pub impatient_percent: u64,
    /// When such a caller sends the second attempt.
    pub impatient_after: Duration,
}

impl Repeats {
    /// Never tries again.
    pub const NONE: Repeats = Repeats {
        attempts: 1,
        pause: Duration::ZERO,
        impatient_percent: 0,
        impatient_after: Duration::ZERO,
    };
}

/// A caller, as many of which run at once as there are calls under way.
///
/// It repeats a request under a new request id where that does no harm: after
/// a refusal, or when the call carries a key or is idempotent.
#[derive(Debug)]
pub struct Caller {
    /// Its connections.
    pub client: Client,
    /// How it reaches the targets.
    pub way: Way,
    /// The kinds that the calls refer to.
    pub kinds: Vec<CallKind>,
    /// Tells its requests from those of other runs on the same targets.
    pub run: String,
    /// When it tries again.
    pub repeats: Repeats,
    /// How long it wants an answer for, which it tells the node.
    pub timeout: Duration,
    /// How much longer it waits for the node to say that the time is over.
    pub grace: Duration,
}

impl Caller {
    /// Makes a call to its end and gives a record for each attempt.
    pub async fn call(&self, due: Due) -> Vec<CallRecord> {
        let mut rng = SmallRng::seed_from_u64(due.call.draw);
        let impatient = rng.random_range(0..100) < self.repeats.impatient_percent;
        if impatient && self.repeats.attempts > 1 && self.may_repeat(&due.call, Ending::Unknown) {
            return self.overlapping(&due, &mut rng).await;
        }
        let mut records: Vec<CallRecord> = Vec::new();
        let mut due_at = due.at;
        for number in 1..=self.repeats.attempts {
            let record = self.attempt(&due.call, number, due_at, rng.random()).await;
            let again = self.may_repeat(&due.call, record.ending);
            records.push(record);
            if !again {
                break;
            }
            tokio::time::sleep(self.repeats.pause).await;
            due_at = Instant::now();
        }
        records
    }

    /// Two attempts of which the second doesn't await the first.
    async fn overlapping(&self, due: &Due, rng: &mut SmallRng) -> Vec<CallRecord> {
        let first = self.attempt(&due.call, 1, due.at, rng.random());
        let draw = rng.random();
        let second = async {
            tokio::time::sleep(self.repeats.impatient_after).await;
            self.attempt(&due.call, 2, Instant::now(), draw).await
        };
        let (first, second) = tokio::join!(first, second);
        vec![first, second]
    }

    fn may_repeat(&self, call: &Call, ending: Ending) -> bool {
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
        let attempt = Attempt::new(&self.run, call, kind, number, self.timeout);
        let sent_us = now_us();
        let patience = self.timeout + self.grace;
        let exchange = self
            .way
            .exchange(&self.client, &attempt, patience, draw)
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

/// Microseconds since the Unix epoch, to compare with targets' ledgers.
fn now_us() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_micros()).unwrap_or(u64::MAX)
}
