//! Retry budgets.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::RetryLimits;
use crate::ReturnStatus;

/// The cost of a retry.
const RETRY_COST: u64 = 1_000;
/// The cost of a reroute: a try at another endpoint, after one that kept the
/// request from its target.
const REROUTE_COST: u64 = 100;
/// The balance at the start, so that a service with few calls can retry.
const INITIAL_BALANCE: u64 = 10 * RETRY_COST;
/// The part of the balance that newcomers leave to returning callers.
const RETURN_RESERVE: u64 = RETRY_COST;
/// The largest balance.
const MAX_BALANCE: u64 = 100 * RETRY_COST;

/// The retry budget of one service on this node.
///
/// Each first try adds a share of the cost of a retry, and each retry spends
/// that cost. In a fault of the whole service, retries are thereby a fixed share
/// of the calls and don't add to the overload that causes them. The balance is
/// bounded by the service's limits, since all nodes may spend theirs at once.
///
/// Reroutes have a balance of their own: they reach no target, so that many of
/// them are allowed where retries are few.
///
/// # Invariants
///
/// Each balance is at least zero and at most `MAX_BALANCE`.
#[derive(Debug)]
pub struct RetryBudget {
    retries: AtomicU64,
    reroutes: AtomicU64,
}

impl RetryBudget {
    /// The budget of a service that has had no calls.
    pub const fn new() -> RetryBudget {
        RetryBudget {
            retries: AtomicU64::new(INITIAL_BALANCE),
            reroutes: AtomicU64::new(INITIAL_BALANCE),
        }
    }

    /// Adds the share of one first try, by the service's limits.
    pub(super) fn credit_first_try(&self, limits: &RetryLimits) {
        let amount = RETRY_COST * u64::from(limits.budget_percent) / 100;
        let limit = RETRY_COST * u64::from(limits.burst);
        credit(&self.retries, amount, limit.min(MAX_BALANCE));
        credit(&self.reroutes, amount, MAX_BALANCE);
    }

    /// Spends the cost of a retry. Returns false if the balance is too small.
    ///
    /// Newcomers leave the cost of one retry to returning callers: the refusal of these is
    /// final, and a newcomer can come back.
    pub(super) fn spend_retry(&self, status: ReturnStatus) -> bool {
        let reserve = match status {
            ReturnStatus::Newcomer => RETURN_RESERVE,
            ReturnStatus::Untracked | ReturnStatus::Returning => 0,
        };
        debit(&self.retries, RETRY_COST, reserve)
    }

    /// Spends the cost of a reroute. Returns false if the balance is too small.
    pub(super) fn spend_reroute(&self) -> bool {
        debit(&self.reroutes, REROUTE_COST, 0)
    }
}

fn credit(account: &AtomicU64, amount: u64, limit: u64) {
    let balance = account.load(Ordering::Relaxed);
    // On most calls the balance is full. Returning early avoids a write for
    // which the traffic threads would contend.
    if balance == limit {
        return;
    }
    // Threads that add at the same time may exceed the limit by their amounts.
    // The smaller of sum and limit is written, so that the bound holds.
    let credited = |balance: u64| Some((balance + amount).min(limit));
    let _ = account.fetch_update(Ordering::Relaxed, Ordering::Relaxed, credited);
}

/// Subtracts `cost` if at least `reserve` is left.
fn debit(account: &AtomicU64, cost: u64, reserve: u64) -> bool {
    let debited = |balance: u64| balance.checked_sub(cost).filter(|left| *left >= reserve);
    account
        .fetch_update(Ordering::Relaxed, Ordering::Relaxed, debited)
        .is_ok()
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget::new()
    }
}
