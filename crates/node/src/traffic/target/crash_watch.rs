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
use tokio::time::Instant;

use crate::traffic::hub::Hub;
use crate::traffic::target;
use crate::traffic::target::Lost;

/// How long after a connection broke the target is tried: a process that crashes has
/// closed its listener by then, and none is back yet.
const TRIED_AFTER: Duration = Duration::from_millis(20);

/// How long all that ran in a target that may have crashed has to end: on a busy machine
/// each thread of the node sees late that its connections broke.
const ENDED_WITHIN: Duration = Duration::from_millis(500);

/// How often it is looked at meanwhile.
const ENDED_POLL: Duration = Duration::from_millis(10);

#[cfg(test)]
mod tests;

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
    /// What ran as a connection broke, while it is being found out why it did.
    suspected: Option<Suspected>,
    /// Connections to the target that had been opened when its last crash was told. As
    /// long as there are no more, whatever breaks belongs to that crash.
    told_at: Option<u64>,
    /// Crashes that were told.
    crashes: u64,
    /// Whether the target has answered since the last of them what it was handed since.
    answered: bool,
}

/// What ran as a connection broke.
#[derive(Debug)]
struct Suspected {
    ran: Vec<(RunKey, Content)>,
    /// Whether the target has answered one of them since.
    survived: bool,
}

impl CrashWatch {
    /// Whether all that is suspected ends without an answer, at a target that has answered
    /// something since its last crash.
    ///
    /// A target without room goes on with what it has. One that has answered nothing since
    /// its last crash may still be down, behind something that takes connections: whatever
    /// is sent there is lost, and no sign against anything.
    async fn all_end(&self) -> bool {
        let until = Instant::now() + ENDED_WITHIN;
        loop {
            {
                let state = self.lock();
                let Some(suspected) = &state.suspected else {
                    return false;
                };
                if !state.answered || suspected.survived {
                    return false;
                }
                let runs = |(key, _): &(RunKey, Content)| state.running.contains_key(*key);
                if !suspected.ran.iter().any(runs) {
                    return true;
                }
            }
            if Instant::now() >= until {
                return false;
            }
            tokio::time::sleep(ENDED_POLL).await;
        }
    }

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
            if let Some(suspected) = &mut state.suspected {
                suspected.survived |= suspected.ran.iter().any(|(key, _)| *key == self.key);
            }
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
        {
            let mut state = hub.crash_watch.lock();
            if state.suspected.is_some() || state.told_at == Some(hub.pool.opened()) {
                return;
            }
            let ran = state.running.iter().map(|(key, of)| (key, *of));
            state.suspected = Some(Suspected {
                ran: ran.collect(),
                survived: false,
            });
        }
        let hub = Arc::clone(hub);
        let connections = self.hub.connections.clone();
        connections.spawn(async move {
            let cancel = hub.cut.clone();
            cancel.run_until_cancelled(report_crash(&hub)).await;
            hub.crash_watch.lock().suspected = None;
        });
    }
}

impl Drop for Watched {
    fn drop(&mut self) {
        self.hub.crash_watch.lock().running.remove(self.key);
    }
}

/// Reports a crash under all that is suspected, if it was one.
async fn report_crash(hub: &Hub) {
    tokio::time::sleep(TRIED_AFTER).await;
    let crashed = match target::find_lost(&hub.pool).await {
        Lost::Connection => false,
        Lost::Target => true,
        Lost::Unclear => hub.crash_watch.all_end().await,
    };
    if !crashed {
        return;
    }
    let ran = {
        let mut state = hub.crash_watch.lock();
        state.told_at = Some(hub.pool.opened());
        state.crashes += 1;
        state.answered = false;
        let suspected = state.suspected.iter();
        let ran = suspected.flat_map(|suspected| &suspected.ran);
        ran.map(|(_, content)| *content).collect()
    };
    hub.shared.quarantine().crashed(ran).await;
}
