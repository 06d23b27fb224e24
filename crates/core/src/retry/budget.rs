//! Retry budgets.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::RetryLimits;

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
/// calls, and don't deepen the overload that they came from. What is saved up is
/// bounded by the service's limits, since all nodes may spend theirs at once.
///
/// Moves have an account of their own: they reach no target, so that they may be
/// many where retries are few.
///
/// # Invariants
///
/// At most `MAX` is held on either account, and never less than nothing.
#[derive(Debug)]
pub struct Budget {
    retries: AtomicU64,
    moves: AtomicU64,
}

impl Budget {
    /// The budget of a service without calls so far.
    pub const fn new() -> Budget {
        Budget {
            retries: AtomicU64::new(START),
            moves: AtomicU64::new(START),
        }
    }

    /// Pays in for one first try, by the service's limits.
    pub(super) fn pay_in(&self, limits: &RetryLimits) {
        let share = RETRY * u64::from(limits.budget_percent) / 100;
        let most = RETRY * u64::from(limits.burst);
        pay(&self.retries, share, most.min(MAX));
        pay(&self.moves, share, MAX);
    }

    /// Takes out a retry, if there is one.
    pub(super) fn take_retry(&self) -> bool {
        take(&self.retries, RETRY)
    }

    /// Takes out a move to another endpoint, if there is one.
    pub(super) fn take_move(&self) -> bool {
        take(&self.moves, MOVE)
    }
}

fn pay(account: &AtomicU64, share: u64, most: u64) {
    let held = account.load(Ordering::Relaxed);
    // Most calls meet a full account, which takes no write that the traffic
    // threads would contend for.
    if held == most {
        return;
    }
    // Threads that pay in at once may pass the mark by their shares; the least
    // of both is written, so that the bound holds.
    let more = |held: u64| Some((held + share).min(most));
    let _ = account.fetch_update(Ordering::Relaxed, Ordering::Relaxed, more);
}

fn take(account: &AtomicU64, cost: u64) -> bool {
    let less = |held: u64| held.checked_sub(cost);
    account
        .fetch_update(Ordering::Relaxed, Ordering::Relaxed, less)
        .is_ok()
}

impl Default for Budget {
    fn default() -> Budget {
        Budget::new()
    }
}
