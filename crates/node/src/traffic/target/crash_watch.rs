//! Seeing that the own target crashes, and what it ran then.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use http::StatusCode;
use sassafrasspool_core::Content;
use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::traffic::hub::Hub;
use crate::traffic::target;
use crate::traffic::target::Lost;

/// How long after a connection broke the target is tried: a process that crashes has
/// closed its listener by then, and none is back yet.
const TRIED_AFTER: Duration = Duration::from_millis(20);

new_key_type! {
    /// Names a request that the own target runs.
    struct RunKey;
}

/// What the own target runs, and whether its last crash was told.
#[derive(Debug, Default)]
pub(in crate::traffic) struct CrashWatch {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    running: SlotMap<RunKey, Content>,
    /// Whether it is being found out why a connection broke.
    asking: bool,
    /// Connections to the target that had been opened when its last crash was told. As
    /// long as there are no more, whatever breaks belongs to that crash.
    told_at: Option<u64>,
    /// Crashes that were told.
    crashes: u64,
    /// Whether the target has answered since the last of them what it was handed since.
    answered: bool,
}

impl CrashWatch {
    fn lock(&self) -> MutexGuard<'_, State> {
        // Nothing can panic halfway through a change of it.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One request that the own target runs, until this is dropped.
#[derive(Debug)]
pub(in crate::traffic) struct Watched {
    hub: Arc<Hub>,
    content: Content,
    key: RunKey,
    /// Crashes that had been told as it was handed over.
    crashes: u64,
    /// Whether its answer shows that the target has run it and lives on.
    shows_run: bool,
}

impl Watched {
    /// Enters a request that is handed over.
    pub(in crate::traffic) fn enter(hub: &Arc<Hub>, content: Content) -> Box<Watched> {
        let mut state = hub.crash_watch.lock();
        Box::new(Watched {
            hub: Arc::clone(hub),
            content,
            key: state.running.insert(content),
            crashes: state.crashes,
            shows_run: false,
        })
    }

    /// Its answer begins with that status.
    ///
    /// A target that starts cold, or is full, refuses by itself what it doesn't run, and so
    /// does whatever stands before one that is down. Such an answer says nothing of what
    /// happens when the request is run.
    pub(in crate::traffic) fn begins_answer(&mut self, status: StatusCode) {
        let refused = status == StatusCode::TOO_MANY_REQUESTS || status.is_server_error();
        self.shows_run = !refused;
    }

    /// Its answer came whole.
    pub(in crate::traffic) fn answered(&self) {
        {
            let mut state = self.hub.crash_watch.lock();
            state.answered |= self.crashes == state.crashes;
        }
        if !self.shows_run {
            return;
        }
        let shared = &self.hub.shared;
        let now = shared.clock().now();
        shared.quarantine().answered(now, &self.content);
    }

    /// Its connection broke. If the target is gone with it, whatever it ran at that moment
    /// may be why.
    ///
    /// A target also breaks off single answers, and resets connections that it has no room
    /// for; so it is tried whether it still takes connections. The first of all that break
    /// together tells of all, and nobody's answer waits for it.
    pub(in crate::traffic) fn lost(&self) {
        let hub = &self.hub;
        if hub.is_leaving() || hub.has_departed() {
            // It was to end anyway, whatever it ran.
            return;
        }
        let ran = {
            let mut state = hub.crash_watch.lock();
            if state.asking || state.told_at == Some(hub.pool.opened()) {
                return;
            }
            state.asking = true;
            state.running.iter().map(|(key, of)| (key, *of)).collect()
        };
        let hub = Arc::clone(hub);
        let connections = self.hub.connections.clone();
        connections.spawn(async move {
            let cancel = hub.cut.clone();
            cancel.run_until_cancelled(report_crash(&hub, ran)).await;
            hub.crash_watch.lock().asking = false;
        });
    }
}

impl Drop for Watched {
    fn drop(&mut self) {
        self.hub.crash_watch.lock().running.remove(self.key);
    }
}

/// Tells of a crash under `ran`, if it was one.
async fn report_crash(hub: &Hub, ran: Vec<(RunKey, Content)>) {
    tokio::time::sleep(TRIED_AFTER).await;
    let crashed = match target::find_lost(&hub.pool).await {
        Lost::Connection => false,
        Lost::Target => true,
        // A target without room goes on with what it has. One that has answered nothing
        // since its last crash may still be down, behind something that takes connections:
        // whatever is sent there is lost, and no sign against anything.
        Lost::Unclear => {
            let state = hub.crash_watch.lock();
            let runs = |(key, _): &(RunKey, Content)| state.running.contains_key(*key);
            state.answered && !ran.iter().any(runs)
        }
    };
    if !crashed {
        return;
    }
    {
        let mut state = hub.crash_watch.lock();
        state.told_at = Some(hub.pool.opened());
        state.crashes += 1;
        state.answered = false;
    }
    let ran = ran.into_iter().map(|(_, content)| content);
    hub.shared.quarantine().crashed(ran.collect()).await;
}
