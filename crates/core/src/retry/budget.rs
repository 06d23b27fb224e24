//! Retry budgets.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::RetryLimits;

/// What a retry costs.
const RETRY_COST: u64 = 1_000;
/// What it costs to go to another endpoint after one that was the wrong one.
const REROUTE_COST: u64 = 100;
/// What is there at the start, so that a service with few calls can retry.
const INITIAL_BALANCE: u64 = 10 * RETRY_COST;
/// The most that is saved up.
const MAX_BALANCE: u64 = 100 * RETRY_COST;

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
    reroutes: AtomicU64,
}

impl Budget {
    /// The budget of a service without calls so far.
    pub const fn new() -> Budget {
        Budget {
            retries: AtomicU64::new(INITIAL_BALANCE),
            reroutes: AtomicU64::new(INITIAL_BALANCE),
        }
    }

    /// Pays in for one first try, by the service's limits.
    pub(super) fn credit_first_try(&self, limits: &RetryLimits) {
        let amount = RETRY_COST * u64::from(limits.budget_percent) / 100;
        let limit = RETRY_COST * u64::from(limits.burst);
        credit(&self.retries, amount, limit.min(MAX_BALANCE));
        credit(&self.reroutes, amount, MAX_BALANCE);
    }

    /// Takes out a retry, if there is one.
    pub(super) fn spend_retry(&self) -> bool {
        debit(&self.retries, RETRY_COST)
    }

    /// Takes out a move to another endpoint, if there is one.
    pub(super) fn spend_reroute(&self) -> bool {
        debit(&self.reroutes, REROUTE_COST)
    }
}

fn credit(account: &AtomicU64, amount: u64, limit: u64) {
    let held = account.load(Ordering::Relaxed);
    // Most calls meet a full account, which takes no write that the traffic
    // threads would contend for.
    if held == limit {
        return;
    }
    // Threads that pay in at once may pass the mark by their shares; the least
    // of both is written, so that the bound holds.
    let more = |held: u64| Some((held + amount).min(limit));
    let _ = account.fetch_update(Ordering::Relaxed, Ordering::Relaxed, more);
}

fn debit(account: &AtomicU64, cost: u64) -> bool {
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
