//! The byte budget of the log, by rank of the line.

use std::time::Duration;

use sassafrasspool_core::Tick;

use super::request::micros;

/// The importance of a line, highest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Rank {
    /// A state change.
    State,
    /// A request that failed or took more than one attempt.
    Failure,
    /// A request that was answered.
    Success,
}

impl Rank {
    /// Every rank, in the order of its index.
    pub(super) const ALL: [Rank; 3] = [Rank::State, Rank::Failure, Rank::Success];

    /// The share of a second's budget reserved for higher ranks, in percent.
    const fn reserve_percent(self) -> u64 {
        match self {
            Rank::State => 0,
            Rank::Failure => 20,
            Rank::Success => 60,
        }
    }
}

/// A token bucket of bytes whose capacity is one second's budget.
///
/// # Invariants
///
/// At most `bytes_per_s` bytes are available, so that within any second at most
/// twice that is written.
#[derive(Debug)]
pub(super) struct ByteBudget {
    bytes_per_s: u64,
    available: u64,
    refilled_at: Tick,
}

impl ByteBudget {
    /// A full bucket.
    pub(super) const fn new(bytes_per_s: u64) -> ByteBudget {
        ByteBudget {
            bytes_per_s,
            available: bytes_per_s,
            refilled_at: Tick::ZERO,
        }
    }

    /// Whether a line of that rank may be written now.
    pub(super) fn allows(&mut self, now: Tick, rank: Rank) -> bool {
        let elapsed = now.since(self.refilled_at).min(Duration::from_secs(1));
        let refill_bytes = self.bytes_per_s.saturating_mul(micros(elapsed)) / 1_000_000;
        if refill_bytes > 0 {
            self.available = (self.available + refill_bytes).min(self.bytes_per_s);
            self.refilled_at = now;
        }
        self.available > self.bytes_per_s * rank.reserve_percent() / 100
    }

    /// Deducts the bytes of a line that was written.
    pub(super) fn consume(&mut self, bytes: usize) {
        self.available = self.available.saturating_sub(bytes as u64);
    }
}
