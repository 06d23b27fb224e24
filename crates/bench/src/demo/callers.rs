//! The callers' side of the demo: calls by the deployment's shares, some
//! asked twice, until they are told to stop.

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
use crate::load::Entries;
use crate::load::Keys;
use crate::load::OpenLoop;
use crate::load::Plan;
use crate::load::Repeats;
use crate::load::Way;

#[cfg(test)]
mod tests;

/// How callers repeat themselves: once more under the same key if they don't
/// know what became of a request, and some by a second click.
const REPEATS: Repeats = Repeats {
    attempts: 2,
    pause: Duration::from_millis(100),
    impatient_percent: 10,
    impatient_after: Duration::from_millis(5),
};

/// How long callers want answers for.
const TIMEOUT: Duration = Duration::from_millis(2_500);

/// How much longer they wait for being told that the time is over.
const GRACE: Duration = Duration::from_millis(2_500);

/// The longest body of a request that may not run twice, in bytes.
const REQUEST_BYTES: usize = 800;

/// Callers that call.
#[derive(Debug)]
pub(super) struct Callers {
    stopped: Arc<AtomicBool>,
    calls: JoinHandle<OpenLoop>,
}

impl Callers {
    /// Begins to call any of `entries`, `rate` times a second, for at most
    /// `longest`.
    pub(super) fn start(
        kinds: Vec<CallKind>,
        entries: Vec<SocketAddr>,
        rate: u32,
        seed: u64,
        longest: Duration,
    ) -> Callers {
        let stopped = Arc::new(AtomicBool::new(false));
        let stop = Arc::clone(&stopped);
        let plan = Plan::new(&kinds, f64::from(rate), longest, seed);
        let plan = plan.take_while(move |_| !stop.load(Ordering::Relaxed));
        let caller = Caller {
            client: Client::default(),
            way: Way::Nodes(Entries::new(entries)),
            kinds,
            run: "d".to_owned(),
            repeats: REPEATS,
            timeout: TIMEOUT,
            grace: GRACE,
        };
        let calls = tokio::spawn(OpenLoop::run(plan, Arc::new(caller)));
        Callers { stopped, calls }
    }

    /// Makes no new calls and waits for the end of all.
    ///
    /// # Errors
    ///
    /// Fails if a caller panicked.
    pub(super) async fn stop(self) -> Result<OpenLoop> {
        self.stopped.store(true, Ordering::Relaxed);
        let calls = self.calls.await;
        calls.map_err(|cause| Error::new(Step::Check, "the callers failed").with_cause(cause))
    }
}

/// The sorts of calls, as the catalogue's routes treat them.
///
/// # Errors
///
/// Fails if a call has no route.
pub(super) fn kinds(calls: &[Call], routes: &Snapshot) -> Result<Vec<CallKind>> {
    let kind = |call: &Call| {
        let route = routes.match_route(None, call.path.as_str());
        let reason = || format!("the catalogue has no route for {}", call.path);
        let route = route.ok_or_else(|| Error::new(Step::Settings, reason()))?;
        Ok(kind(call, route))
    };
    calls.iter().map(kind).collect()
}

fn kind(call: &Call, bound: &BoundRoute) -> CallKind {
    let route = &bound.route;
    let once = !route.idempotent;
    CallKind {
        // A handful of names that live as long as the demo does.
        name: String::leak(route.kind.to_string()),
        path: String::leak(call.path.to_string()),
        class: route.class,
        weight: bound.weight,
        idempotent: route.idempotent,
        keys: if once { Keys::Half } else { Keys::None },
        share: call.share,
        answer_bytes: call.answer_bytes,
        request_bytes: if once { REQUEST_BYTES } else { 0 },
    }
}
