//! Retry budgets.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// What a retry costs.
const RETRY: u64 = 1_000;
/// What it costs to go to another endpoint after one that was the wrong one.
const MOVE: u64 = 100;
/// What is there at the start, so that a service with few calls can retry.
const START: u64 = 10 * RETRY;
/// The most that is saved up.
const MAX: u64 = 100 * RETRY;

/// The retries that one service still has on this node.
///
/// Each first try pays a share of a retry in; each retry takes one out. Under
/// a fault of the whole service the retries are thereby a set share of the
/// calls, and don't deepen the overload that they came from.
///
/// # Invariants
///
/// At most `MAX` is held, and never less than nothing.
#[derive(Debug)]
pub struct Budget(AtomicU64);

impl Budget {
    /// The budget of a service without calls so far.
    pub const fn new() -> Budget {
        Budget(AtomicU64::new(START))
    }

    /// Pays in for one first try, `percent` of a retry.
    pub(super) fn pay_in(&self, percent: u32) {
        let share = RETRY * u64::from(percent) / 100;
        let held = self.0.load(Ordering::Relaxed);
        // Most calls meet a full budget, which takes no write that the traffic
        // threads would contend for.
        if held < MAX {
            // Threads that pay in at once may pass the mark by their shares;
            // the least of both is written, so that the bound holds.
            let more = |held: u64| Some((held + share).min(MAX));
            let _ = self
                .0
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, more);
        }
    }

    /// Takes out a retry, if there is one.
    pub(super) fn take_retry(&self) -> bool {
        self.take(RETRY)
    }

    /// Takes out a move to another endpoint, if there is one.
    pub(super) fn take_move(&self) -> bool {
        self.take(MOVE)
    }

    fn take(&self, cost: u64) -> bool {
        let less = |held: u64| held.checked_sub(cost);
        self.0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, less)
            .is_ok()
    }
}

impl Default for Budget {
    fn default() -> Budget {
        Budget::new()
    }
}
