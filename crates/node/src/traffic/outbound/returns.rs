//! Callers that were refused by this node and return to it.

use std::fmt;
use std::time::Duration;

use metrics::Counter;
use metrics::counter;
use sassafrasspool_core::CallerTrace;
use sassafrasspool_core::KindName;
use sassafrasspool_core::Redeemed;
use sassafrasspool_core::ReturnPromises;
use sassafrasspool_core::ReturnStatus;
use sassafrasspool_core::Tick;

use crate::metrics::traffic;

/// The promises of a node to refused callers, and the counters of their returns.
pub(in crate::traffic) struct Returns {
    promises: ReturnPromises,
    honoured: Counter,
    early: Counter,
}

impl Returns {
    pub(in crate::traffic) fn new() -> Returns {
        let result = |result: &'static str| counter!(traffic::RETURNS, "result" => result);
        Returns {
            promises: ReturnPromises::default(),
            honoured: result("honoured"),
            early: result("early"),
        }
    }

    /// Redeems the promise to the caller of a request, if it has one. `is_retry` says whether
    /// the timeout of the request shows that it is a retry.
    pub(in crate::traffic) fn redeem(
        &self,
        now: Tick,
        kind: &KindName,
        caller: CallerTrace,
        is_retry: bool,
    ) -> ReturnStatus {
        let redeemed = self.promises.redeem(now, kind, caller);
        match redeemed {
            Redeemed::Honoured => {
                self.honoured.increment(1);
                return ReturnStatus::Returning;
            }
            Redeemed::Early => self.early.increment(1),
            Redeemed::Unknown if is_retry => self.early.increment(1),
            Redeemed::Unknown => {}
        }
        ReturnStatus::Newcomer
    }

    /// Records that a caller was told to return after `retry_after`.
    pub(in crate::traffic) fn promise(
        &self,
        now: Tick,
        kind: &KindName,
        caller: CallerTrace,
        retry_after: Duration,
    ) {
        self.promises.promise(now, kind, caller, retry_after);
    }
}

impl fmt::Debug for Returns {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Returns")
            .field("promises", &self.promises)
            .finish()
    }
}
