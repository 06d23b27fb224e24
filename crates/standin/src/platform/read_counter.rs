//! Counting reads, and the most of them in a second.

use tokio::time::Instant;

/// The steps that the window of one second moves by.
const BUCKET_COUNT: usize = 10;

/// The length of one step in milliseconds.
const BUCKET_MS: u128 = 100;

/// Counts calls over a sliding window of one second.
///
/// # Invariants
///
/// `in_window` is the sum of `buckets`.
#[derive(Debug)]
pub(super) struct ReadCounter {
    total: u64,
    refused: u64,
    peak: u64,
    in_window: u64,
    buckets: [u64; BUCKET_COUNT],
    newest_bucket: u128,
    origin: Instant,
}

impl ReadCounter {
    /// A count of nothing so far.
    pub(super) fn new(now: Instant) -> ReadCounter {
        ReadCounter {
            total: 0,
            refused: 0,
            peak: 0,
            in_window: 0,
            buckets: [0; BUCKET_COUNT],
            newest_bucket: 0,
            origin: now,
        }
    }

    /// Counts one call, whatever its answer will be.
    pub(super) fn count(&mut self, now: Instant) {
        let bucket = now.saturating_duration_since(self.origin).as_millis() / BUCKET_MS;
        self.advance_window(bucket);
        // INVARIANT: The sum grows with its bucket.
        self.buckets[bucket_index(bucket)] += 1;
        self.in_window += 1;
        self.total += 1;
        self.peak = self.peak.max(self.in_window);
    }

    /// Counts the refusal of a call that was counted before.
    pub(super) fn count_refused(&mut self) {
        self.refused += 1;
    }

    /// All calls.
    pub(super) fn total(&self) -> u64 {
        self.total
    }

    /// Calls over the budget.
    pub(super) fn refused(&self) -> u64 {
        self.refused
    }

    /// The most calls within one second, refused ones among them.
    pub(super) fn peak(&self) -> u64 {
        self.peak
    }

    fn advance_window(&mut self, to: u128) {
        let count = u128::try_from(BUCKET_COUNT).unwrap_or(u128::MAX);
        let first = (self.newest_bucket + 1).max((to + 1).saturating_sub(count));
        for bucket in first..=to {
            // INVARIANT: What leaves a bucket leaves the sum.
            let removed = std::mem::take(&mut self.buckets[bucket_index(bucket)]);
            self.in_window -= removed;
        }
        self.newest_bucket = self.newest_bucket.max(to);
    }
}

fn bucket_index(bucket: u128) -> usize {
    let count = u128::try_from(BUCKET_COUNT).unwrap_or(1);
    usize::try_from(bucket % count).unwrap_or(0)
}
