//! Detects crashes of the local target, and the requests that it ran at that time.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use http::StatusCode;
use sassafrasspool_core::Content;
use slotmap::SlotMap;
use slotmap::new_key_type;
use tokio::time::Instant;

use crate::traffic::hub::Hub;
use crate::traffic::target;
use crate::traffic::target::BreakScope;

/// Delay between a broken connection and the probe of the target. By then a crashed
/// process has closed its listener, and no restarted process listens yet.
const PROBE_DELAY: Duration = Duration::from_millis(20);

/// Time within which all requests that ran in a target must have ended if it crashed. On a
/// busy machine each thread of the node notices late that its connections broke.
const RUNS_END_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval between checks whether these requests have ended.
const RUNS_END_POLL_INTERVAL: Duration = Duration::from_millis(10);

#[cfg(test)]
mod tests;

new_key_type! {
    /// Identifies a request that the local target runs.
    struct RunKey;
}

/// The requests that the local target runs, and the state of crash detection.
#[derive(Debug, Default)]
pub(in crate::traffic) struct CrashWatch {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    running: SlotMap<RunKey, Content>,
    /// The requests that ran when a connection broke, while the cause is determined.
    suspects: Option<Suspects>,
    /// Total of connections opened to the target when its last crash was reported. Until
    /// another one is opened, every broken connection belongs to that crash.
    opened_at_report: Option<u64>,
    /// Crashes reported so far.
    crashes: u64,
    /// Whether the target has answered a request that was handed over after its last
    /// reported crash.
    answered: bool,
}

/// The requests that ran when a connection broke.
#[derive(Debug)]
struct Suspects {
    runs: Vec<(RunKey, Content)>,
    /// Whether the target has answered one of them since then.
    survived: bool,
}

impl CrashWatch {
    /// Whether all suspects end without an answer, in a target that has answered a request
    /// since its last crash.
    ///
    /// A target without capacity for connections continues the requests that it runs. A
    /// target that has answered nothing since its last crash may still be down, behind an
    /// intermediary that accepts connections. Every request sent there is lost, which is no
    /// evidence against any request.
    async fn all_suspects_end(&self) -> bool {
        let until = Instant::now() + RUNS_END_TIMEOUT;
        loop {
            {
                let state = self.lock();
                let Some(suspects) = &state.suspects else {
                    return false;
                };
                if !state.answered || suspects.survived {
                    return false;
                }
                let is_running = |(key, _): &(RunKey, Content)| state.running.contains_key(*key);
                if !suspects.runs.iter().any(is_running) {
                    return true;
                }
            }
            if Instant::now() >= until {
                return false;
            }
            tokio::time::sleep(RUNS_END_POLL_INTERVAL).await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // No change of the state can panic halfway.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One request that the local target runs, until this is dropped.
#[derive(Debug)]
pub(in crate::traffic) struct WatchedRequest {
    hub: Arc<Hub>,
    content: Content,
    key: RunKey,
    /// Crashes reported before it was handed over.
    crashes: u64,
    /// Whether its answer shows that the target has run it without a crash.
    shows_run: bool,
}

impl WatchedRequest {
    /// Adds a request that is handed over to the running ones.
    pub(in crate::traffic) fn start(hub: &Arc<Hub>, content: Content) -> Box<WatchedRequest> {
        let mut state = hub.crash_watch.lock();
        Box::new(WatchedRequest {
            hub: Arc::clone(hub),
            content,
            key: state.running.insert(content),
            crashes: state.crashes,
            shows_run: false,
        })
    }

    /// Records the status with which the answer begins.
    ///
    /// A target that is cold or overloaded refuses requests without running them, and so
    /// does an intermediary before a target that is down. Such an answer shows nothing of
    /// what happens when the request is run.
    pub(in crate::traffic) fn record_status(&mut self, status: StatusCode) {
        let refused = status == StatusCode::TOO_MANY_REQUESTS || status.is_server_error();
        self.shows_run = !refused;
    }

    /// Records that the answer was received completely.
    pub(in crate::traffic) fn record_answer(&self) {
        {
            let mut state = self.hub.crash_watch.lock();
            state.answered |= self.crashes == state.crashes;
            if let Some(suspects) = &mut state.suspects {
                suspects.survived |= suspects.runs.iter().any(|(key, _)| *key == self.key);
            }
        }
        if !self.shows_run {
            return;
        }
        let shared = &self.hub.shared;
        let now = shared.clock().now();
        shared.quarantine().record_answer(now, &self.content);
    }

    /// Records that the connection of the request broke. If the target crashed, any of the
    /// requests that it ran at that moment may be the cause.
    ///
    /// A target also aborts single answers, and resets connections for which it has no
    /// capacity. The target is therefore probed for whether it still accepts connections.
    /// Of the connections that break together, the first one starts the probe and the
    /// report for all. No answer is delayed by the probe.
    pub(in crate::traffic) fn record_broken_connection(&self) {
        let hub = &self.hub;
        if hub.is_leaving() || hub.has_departed() {
            // The target was to stop anyway, whatever it ran.
            return;
        }
        {
            let mut state = hub.crash_watch.lock();
            if state.suspects.is_some() || state.opened_at_report == Some(hub.pool.opened_total()) {
                return;
            }
            let runs = state.running.iter().map(|(key, content)| (key, *content));
            state.suspects = Some(Suspects {
                runs: runs.collect(),
                survived: false,
            });
        }
        let hub = Arc::clone(hub);
        let connections = self.hub.connections.clone();
        connections.spawn(async move {
            let cancel = hub.abort.clone();
            cancel.run_until_cancelled(report_crash(&hub)).await;
            hub.crash_watch.lock().suspects = None;
        });
    }
}

impl Drop for WatchedRequest {
    fn drop(&mut self) {
        self.hub.crash_watch.lock().running.remove(self.key);
    }
}

/// Reports a crash together with all suspects, if the target crashed.
async fn report_crash(hub: &Hub) {
    tokio::time::sleep(PROBE_DELAY).await;
    let crashed = match target::diagnose_break(&hub.pool).await {
        BreakScope::Connection => false,
        BreakScope::Target => true,
        BreakScope::Unclear => hub.crash_watch.all_suspects_end().await,
    };
    if !crashed {
        return;
    }
    let contents = {
        let mut state = hub.crash_watch.lock();
        state.opened_at_report = Some(hub.pool.opened_total());
        state.crashes += 1;
        state.answered = false;
        let suspects = state.suspects.iter();
        let runs = suspects.flat_map(|suspects| &suspects.runs);
        runs.map(|(_, content)| *content).collect()
    };
    hub.shared.quarantine().record_crash(contents).await;
}
