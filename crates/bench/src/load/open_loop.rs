//! Sends a plan's calls when they are due, independent of earlier answers.

use std::sync::Arc;

use tokio::task::JoinSet;

use super::caller::Caller;
use super::pacer::Pacer;
use super::plan::Call;
use super::record::CallRecord;
use crate::summary::Samples;

/// Most calls in flight at once. More would only measure this process.
const MAX_CALLS_IN_FLIGHT: usize = 20_000;

/// The records of an open-loop run.
#[derive(Debug, Default)]
pub struct OpenLoop {
    /// One record for each attempt, in no order.
    pub records: Vec<CallRecord>,
    /// By how much calls were released late, which shows whether the machine kept
    /// up with the plan.
    pub lateness: Samples,
    /// Calls that were never made because too many were in flight.
    pub dropped: u64,
}

impl OpenLoop {
    /// Makes all calls of `plan` and waits until they have ended.
    pub async fn run(
        plan: impl Iterator<Item = Call> + Send + 'static,
        caller: Arc<Caller>,
    ) -> OpenLoop {
        let mut done = OpenLoop::default();
        let mut calls = JoinSet::new();
        let mut pacer = Pacer::start(plan);
        while let Some(due) = pacer.next().await {
            done.lateness.add(due.lateness);
            if calls.len() >= MAX_CALLS_IN_FLIGHT {
                done.dropped += 1;
                continue;
            }
            let caller = Arc::clone(&caller);
            calls.spawn(async move { caller.call(due).await });
            while let Some(Ok(records)) = calls.try_join_next() {
                done.records.extend(records);
            }
        }
        while let Some(Ok(records)) = calls.join_next().await {
            done.records.extend(records);
        }
        done
    }
}
