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
use crate::traffic::target::ConnectionNumber;
use crate::traffic::target::Pool;

/// Delay between a broken connection and the probe of the target. By then a crashed
/// process has closed its listener, and no restarted process listens yet.
const PROBE_DELAY: Duration = Duration::from_millis(20);

/// Time within which all connections to a target must have closed if it crashed. On a busy
/// machine each thread of the node, or an intermediary, notices late that they broke.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval between checks whether these connections have closed.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The fewest concurrent requests whose connections must have broken before their answers
/// began, if the target accepts connections. On a busy machine it may have restarted before it
/// is probed, or an intermediary closes the probe late. But a target also aborts requests one
/// by one, and truncates answers.
const MIN_BROKEN: usize = 2;

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
    running: SlotMap<RunKey, Running>,
    /// The requests that ran when connections broke, while the cause is determined.
    suspects: Option<Suspects>,
    /// Those that ran when connections broke under later requests, in case that `suspects`
    /// turn out not to have been in a crash.
    later_suspects: Option<Suspects>,
    /// Total of connections opened to the target when its last crash was reported. Until
    /// another one is opened, every broken connection belongs to that crash.
    opened_at_report: Option<u64>,
    /// Crashes reported so far.
    crashes: u64,
    /// Whether the target has begun to answer a request that was handed over after its last
    /// reported crash.
    answered: bool,
}

/// A request that the local target runs.
#[derive(Debug, Clone, Copy)]
struct Running {
    content: Content,
    started: Instant,
    /// The last connection that was opened before.
    last_connection: ConnectionNumber,
}

impl State {
    fn start_run(&mut self, content: Content, last_connection: ConnectionNumber) -> RunKey {
        self.running.insert(Running {
            content,
            started: Instant::now(),
            last_connection,
        })
    }

    /// Records that the connection of a request broke, before or after its answer began.
    fn record_break(
        &mut self,
        broken: RunKey,
        answer_began: bool,
        last_connection: ConnectionNumber,
    ) {
        let Some(run) = self.running.get(broken) else {
            return;
        };
        let suspects = match &mut self.suspects {
            Some(suspects) if !suspects.contains(broken) => {
                // It was started after the first break, maybe in the next process of the target.
                let new = || Suspects::new(run.last_connection);
                self.later_suspects.get_or_insert_with(new)
            }
            suspects => suspects.get_or_insert_with(|| Suspects::new(last_connection)),
        };
        suspects.record_break(broken, run, &self.running, self.answered);
        if let Some(run) = suspects.find(broken) {
            run.broke = !answer_began;
        }
    }

    fn all_suspects(&mut self) -> impl Iterator<Item = &mut Suspects> {
        self.suspects.iter_mut().chain(&mut self.later_suspects)
    }

    /// Records that the target has answered a request.
    fn clear_suspect(&mut self, answered: RunKey) {
        for suspects in self.all_suspects() {
            // INVARIANT: An answered request is no suspect.
            suspects.runs.retain(|run| run.key != answered);
        }
    }

    /// Records that the node no longer waits for an answer.
    fn end_run(&mut self, key: RunKey) {
        self.running.remove(key);
        for run in self.all_suspects().filter_map(|it| it.find(key)) {
            run.ended = Some(Instant::now());
        }
    }
}

/// The requests that ran when connections broke.
///
/// # Invariants
///
/// `runs` has no request that was answered, and none that ended before another was started.
#[derive(Debug)]
struct Suspects {
    runs: Vec<Suspect>,
    last_break: Instant,
    /// A target that crashed under these requests has closed all connections up to this one.
    last_connection: ConnectionNumber,
    /// Whether the target had answered a request since its last reported crash. If not, it may
    /// still be down, behind an intermediary that accepts connections. Every request sent there
    /// is lost, which is no evidence against any request.
    answered: bool,
}

#[derive(Debug)]
struct Suspect {
    key: RunKey,
    content: Content,
    /// When the node stopped waiting for the answer.
    ended: Option<Instant>,
    /// Whether its connection broke before the answer began.
    broke: bool,
}

impl Suspects {
    fn new(last_connection: ConnectionNumber) -> Suspects {
        Suspects {
            runs: Vec::new(),
            last_break: Instant::now(),
            last_connection,
            answered: false,
        }
    }

    /// Records that the connection of a request broke while `running` ran.
    fn record_break(
        &mut self,
        key: RunKey,
        broken: &Running,
        running: &SlotMap<RunKey, Running>,
        answered: bool,
    ) {
        self.last_break = Instant::now();
        if self.contains(key) {
            return;
        }
        if !self.runs.is_empty() {
            self.last_connection = broken.last_connection;
        }
        self.answered = answered;
        let timed_out = self.last_break.checked_sub(CLOSE_TIMEOUT);
        // INVARIANT: What ended before this request was started isn't kept.
        let earliest_end = Some(broken.started).max(timed_out);
        self.runs
            .retain(|run| run.ended.is_none() || run.ended >= earliest_end);
        for (key, run) in running {
            if !self.contains(key) {
                self.runs.push(Suspect {
                    key,
                    content: run.content,
                    ended: None,
                    broke: false,
                });
            }
        }
    }

    fn contains(&self, key: RunKey) -> bool {
        self.runs.iter().any(|run| run.key == key)
    }

    fn find(&mut self, key: RunKey) -> Option<&mut Suspect> {
        self.runs.iter_mut().find(|run| run.key == key)
    }

    /// The number of requests whose connections broke before their answers began.
    fn broken(&self) -> usize {
        self.runs.iter().filter(|run| run.broke).count()
    }
}

/// The evidence on which a broken connection is or isn't taken for a crash.
#[derive(Debug)]
struct Evidence {
    suspects: usize,
    broken: usize,
    /// Whether a connection is open that a crash would have closed.
    open: bool,
    answered: bool,
}

impl Evidence {
    /// Whether the process that served all these connections has ended.
    ///
    /// A target without capacity for connections keeps those that it has.
    fn shows_crash(&self, min_broken: usize) -> bool {
        self.answered && !self.open && self.broken >= min_broken
    }
}

impl CrashWatch {
    /// Waits until the evidence shows a crash, for [`CLOSE_TIMEOUT`] after the last break under
    /// the suspects.
    /// Returns the last evidence and whether it shows one.
    async fn wait_for_crash(&self, pool: &Pool, min_broken: usize) -> (Evidence, bool) {
        loop {
            let evidence = self.evidence(pool);
            if evidence.shows_crash(min_broken) {
                return (evidence, true);
            }
            if self.dismiss_suspects_after_timeout() {
                return (evidence, false);
            }
            tokio::time::sleep(CLOSE_POLL_INTERVAL).await;
        }
    }

    fn evidence(&self, pool: &Pool) -> Evidence {
        let state = self.lock();
        let suspects = state.suspects.as_ref();
        Evidence {
            suspects: suspects.map_or(0, |it| it.runs.len()),
            broken: suspects.map_or(0, Suspects::broken),
            open: suspects.is_some_and(|it| pool.has_open_up_to(it.last_connection)),
            answered: suspects.is_some_and(|it| it.answered),
        }
    }

    /// Dismisses the suspects unless one of their connections broke within [`CLOSE_TIMEOUT`].
    /// Returns whether that ends the diagnosis.
    fn dismiss_suspects_after_timeout(&self) -> bool {
        let mut state = self.lock();
        let last_break = state.suspects.as_ref().map(|it| it.last_break);
        if last_break.is_none_or(|at| at.elapsed() >= CLOSE_TIMEOUT) {
            state.suspects = state.later_suspects.take();
        }
        state.suspects.is_none()
    }

    /// Counts a crash and ends the diagnosis. Returns the requests that may have caused it.
    fn take_crash(&self, opened_total: u64) -> Vec<Content> {
        let mut state = self.lock();
        state.opened_at_report = Some(opened_total);
        state.crashes += 1;
        state.answered = false;
        // Requests that were lost later may have met the target when it was down.
        state.later_suspects = None;
        let suspects = state.suspects.take();
        let runs = suspects.into_iter().flat_map(|suspects| suspects.runs);
        runs.map(|run| run.content).collect()
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
    answer_began: bool,
    /// Whether its answer shows that the target has run it without a crash.
    shows_run: bool,
}

impl WatchedRequest {
    /// Adds a request that is handed over to the running ones.
    pub(in crate::traffic) fn start(hub: &Arc<Hub>, content: Content) -> Box<WatchedRequest> {
        let last_connection = hub.pool.last_connection();
        let mut state = hub.crash_watch.lock();
        Box::new(WatchedRequest {
            hub: Arc::clone(hub),
            content,
            key: state.start_run(content, last_connection),
            crashes: state.crashes,
            answer_began: false,
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
        self.answer_began = true;
        let mut state = self.hub.crash_watch.lock();
        state.answered |= self.crashes == state.crashes;
    }

    /// Records that the answer was received completely.
    pub(in crate::traffic) fn record_answer(&self) {
        self.hub.crash_watch.lock().clear_suspect(self.key);
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
    /// report for all, which end the diagnosis. No answer is delayed by the probe.
    pub(in crate::traffic) fn record_broken_connection(&self) {
        let hub = &self.hub;
        if hub.is_leaving() || hub.has_departed() {
            // The target was to stop anyway, whatever it ran.
            return;
        }
        {
            let mut state = hub.crash_watch.lock();
            if state.opened_at_report == Some(hub.pool.opened_total()) {
                return;
            }
            let is_first = state.suspects.is_none();
            state.record_break(self.key, self.answer_began, hub.pool.last_connection());
            if !is_first {
                return;
            }
        }
        let hub = Arc::clone(hub);
        let connections = self.hub.connections.clone();
        connections.spawn(async move {
            let cancel = hub.abort.clone();
            cancel.run_until_cancelled(report_crash(&hub)).await;
        });
    }
}

impl Drop for WatchedRequest {
    fn drop(&mut self) {
        self.hub.crash_watch.lock().end_run(self.key);
    }
}

/// Reports a crash together with all suspects, if the target crashed.
async fn report_crash(hub: &Hub) {
    let broke_at = Instant::now();
    tokio::time::sleep(PROBE_DELAY).await;
    let scope = target::diagnose_break(&hub.pool).await;
    let probed_ms = broke_at.elapsed().as_millis();
    let watch = &hub.crash_watch;
    let (evidence, crashed) = match scope {
        BreakScope::Target => (watch.evidence(&hub.pool), true),
        BreakScope::Unclear => watch.wait_for_crash(&hub.pool, 0).await,
        BreakScope::Connection => watch.wait_for_crash(&hub.pool, MIN_BROKEN).await,
    };
    tracing::info!(
        ?scope,
        probed_ms,
        suspects = evidence.suspects,
        broken = evidence.broken,
        open = evidence.open,
        answered = evidence.answered,
        crashed,
        "a connection to the target broke"
    );
    if !crashed {
        return;
    }
    if scope != BreakScope::Target {
        // It accepts connections already.
        hub.record_target_restart();
    }
    let contents = watch.take_crash(hub.pool.opened_total());
    hub.shared.quarantine().record_crash(contents).await;
}
