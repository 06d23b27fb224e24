//! How many bytes of lines may be written.

use std::time::Duration;

use sassafrasspool_core::Tick;

use super::request::micros;

/// What a line is about, the least dispensable first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Rank {
    /// A change of state.
    State,
    /// A request that failed, or was tried more than once.
    Failure,
    /// A request that was answered.
    Success,
}

impl Rank {
    /// Every rank, in the order of its index.
    pub(super) const ALL: [Rank; 3] = [Rank::State, Rank::Failure, Rank::Success];

    /// The part of a second's budget that is left for ranks above, in percent.
    const fn reserve_percent(self) -> u64 {
        match self {
            Rank::State => 0,
            Rank::Failure => 20,
            Rank::Success => 60,
        }
    }
}

/// A bucket that a second's bytes fit into.
///
/// # Invariants
///
/// At most `per_s` bytes are held, so that within any second no more than twice
/// that is written.
#[derive(Debug)]
pub(super) struct ByteBudget {
    per_s: u64,
    held: u64,
    at: Tick,
}

impl ByteBudget {
    /// A full bucket.
    pub(super) const fn new(per_s: u64) -> ByteBudget {
        ByteBudget {
            per_s,
            held: per_s,
            at: Tick::ZERO,
        }
    }

    /// Whether a line of that rank may be written now.
    pub(super) fn allows(&mut self, now: Tick, rank: Rank) -> bool {
        let passed = now.since(self.at).min(Duration::from_secs(1));
        let gained = self.per_s.saturating_mul(micros(passed)) / 1_000_000;
        if gained > 0 {
            self.held = (self.held + gained).min(self.per_s);
            self.at = now;
        }
        self.held > self.per_s * rank.reserve_percent() / 100
    }

    /// Takes the bytes of a line that was written.
    pub(super) fn take(&mut self, bytes: usize) {
        self.held = self.held.saturating_sub(bytes as u64);
    }
}
