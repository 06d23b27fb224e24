//! The demo's callers: they send calls in the deployment's shares, some of them
//! twice, until they are stopped.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use sassafrasspool_core::BoundRoute;
use sassafrasspool_core::Error;
use sassafrasspool_core::Result;
use sassafrasspool_core::Snapshot;
use sassafrasspool_core::Step;
use tokio::task::JoinHandle;

use super::deployment::Call;
use crate::load::CallKind;
use crate::load::Caller;
use crate::load::Client;
use crate::load::EntryNodes;
use crate::load::Keys;
use crate::load::OpenLoop;
use crate::load::Plan;
use crate::load::RetryPolicy;
use crate::load::SystemUnderTest;

#[cfg(test)]
mod tests;

/// How callers retry: once more under the same key if the outcome of a request
/// is unknown. Some send the second attempt while the first is in flight, as a
/// user who clicks twice does.
const RETRY_POLICY: RetryPolicy = RetryPolicy {
    max_attempts: 2,
    pause: Duration::from_millis(100),
    overlapping_percent: 10,
    overlap_after: Duration::from_millis(5),
};

/// Caller timeout, which is sent with each request.
const TIMEOUT: Duration = Duration::from_millis(2_500);

/// How long after the timeout callers still wait for the node's timeout answer.
const TIMEOUT_GRACE: Duration = Duration::from_millis(2_500);

/// Longest body of a request that must run at most once, in bytes.
const MAX_REQUEST_BYTES: usize = 800;

/// Callers that are sending calls.
#[derive(Debug)]
pub(super) struct Callers {
    stopped: Arc<AtomicBool>,
    calls: JoinHandle<OpenLoop>,
}

impl Callers {
    /// Starts sending `rate` calls a second to any of `entries`, for at most
    /// `max_length`.
    pub(super) fn start(
        kinds: Vec<CallKind>,
        entries: Vec<SocketAddr>,
        rate: u32,
        seed: u64,
        max_length: Duration,
    ) -> Callers {
        let stopped = Arc::new(AtomicBool::new(false));
        let stop = Arc::clone(&stopped);
        let plan = Plan::new(&kinds, f64::from(rate), max_length, seed);
        let plan = plan.take_while(move |_| !stop.load(Ordering::Relaxed));
        let caller = Caller {
            client: Client::default(),
            system: SystemUnderTest::Nodes(EntryNodes::new(entries)),
            kinds,
            run_id: "d".to_owned(),
            retry_policy: RETRY_POLICY,
            timeout: TIMEOUT,
            grace: TIMEOUT_GRACE,
        };
        let calls = tokio::spawn(OpenLoop::run(plan, Arc::new(caller)));
        Callers { stopped, calls }
    }

    /// Stops making calls and waits until all calls in flight have ended.
    ///
    /// # Errors
    ///
    /// Fails if the callers' task panicked.
    pub(super) async fn stop(self) -> Result<OpenLoop> {
        self.stopped.store(true, Ordering::Relaxed);
        let calls = self.calls.await;
        calls.map_err(|cause| Error::new(Step::Check, "the callers' task failed").with_cause(cause))
    }
}

/// The kinds of calls, with class, weight and idempotence from the catalogue's
/// routes.
///
/// # Errors
///
/// Fails if a call has no route.
pub(super) fn call_kinds(calls: &[Call], routes: &Snapshot) -> Result<Vec<CallKind>> {
    let of_call = |call: &Call| {
        let route = routes.match_route(None, call.path.as_str());
        let reason = || format!("the catalogue has no route for {}", call.path);
        let route = route.ok_or_else(|| Error::new(Step::Settings, reason()))?;
        Ok(call_kind(call, route))
    };
    calls.iter().map(of_call).collect()
}

fn call_kind(call: &Call, bound: &BoundRoute) -> CallKind {
    let route = &bound.route;
    let at_most_once = !route.idempotent;
    CallKind {
        // Leaks a few names, which are needed until the demo ends.
        name: String::leak(route.kind.to_string()),
        path: String::leak(call.path.to_string()),
        class: route.class,
        weight: bound.weight,
        idempotent: route.idempotent,
        keys: if at_most_once { Keys::Half } else { Keys::None },
        share: call.share,
        answer_bytes: call.answer_bytes,
        request_bytes: if at_most_once { MAX_REQUEST_BYTES } else { 0 },
    }
}
