//! Counts reads, and their peak within one second.

use tokio::time::Instant;

/// The number of buckets in the sliding window of one second.
const BUCKET_COUNT: usize = 10;

/// The length of one bucket in milliseconds.
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
    /// An empty count whose buckets begin at `now`.
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

    /// Counts one call, regardless of its answer.
    pub(super) fn count(&mut self, now: Instant) {
        let bucket = now.saturating_duration_since(self.origin).as_millis() / BUCKET_MS;
        self.advance_window(bucket);
        // INVARIANT: The bucket and the sum both grow by one.
        self.buckets[bucket_index(bucket)] += 1;
        self.in_window += 1;
        self.total += 1;
        self.peak = self.peak.max(self.in_window);
    }

    /// Counts the refusal of a call that is already counted.
    pub(super) fn count_refused(&mut self) {
        self.refused += 1;
    }

    /// The number of calls, including refused ones.
    pub(super) fn total(&self) -> u64 {
        self.total
    }

    /// The number of calls over the budget.
    pub(super) fn refused(&self) -> u64 {
        self.refused
    }

    /// The maximum number of calls within one second, including refused ones.
    pub(super) fn peak(&self) -> u64 {
        self.peak
    }

    fn advance_window(&mut self, to: u128) {
        let count = u128::try_from(BUCKET_COUNT).unwrap_or(u128::MAX);
        let first = (self.newest_bucket + 1).max((to + 1).saturating_sub(count));
        for bucket in first..=to {
            // INVARIANT: The count of a cleared bucket is subtracted from the sum.
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
