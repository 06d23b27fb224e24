//! Watching what every node says of itself.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use sassafrasspool_core::Error;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::Phase;
use sassafrasspool_core::Result;
use sassafrasspool_core::Step;
use sassafrasspool_core::history::Event;
use sassafrasspool_ctl::AdminClient;
use sassafrasspool_wire::admin::Held;
use sassafrasspool_wire::admin::STATUS_PATH;
use sassafrasspool_wire::admin::Status;
use sassafrasspool_wire::admin::VersionInfo;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::chaos::log::Log;
use crate::chaos::observer::held_by;

/// Time between two questions to a node.
const INTERVAL: Duration = Duration::from_millis(20);
/// Time between two looks at what was seen.
const LOOK: Duration = Duration::from_millis(5);

/// The newest status of every node that answers.
pub(super) type Seen = BTreeMap<InstanceId, Status>;

/// Asks all nodes for their status until it is dropped.
#[derive(Debug)]
pub(super) struct Watch {
    seen: Arc<Mutex<Seen>>,
    _tasks: JoinSet<()>,
}

impl Watch {
    /// Begins to ask the admin addresses of all instances.
    pub(super) fn start(
        client: &AdminClient,
        nodes: Vec<(InstanceId, SocketAddr)>,
        log: &Arc<Log>,
    ) -> Watch {
        let seen = Arc::new(Mutex::default());
        let mut tasks = JoinSet::new();
        for (id, admin) in nodes {
            let observer = Observer {
                client: client.clone(),
                log: Arc::clone(log),
                seen: Arc::clone(&seen),
                id,
                admin,
            };
            tasks.spawn(observer.run());
        }
        Watch {
            seen,
            _tasks: tasks,
        }
    }

    /// What is seen now.
    pub(super) fn now(&self) -> Seen {
        lock(&self.seen).clone()
    }

    /// Waits until `holds`, which is said by `what`.
    ///
    /// # Errors
    ///
    /// Fails if that takes longer than `bound`.
    pub(super) async fn wait(
        &self,
        what: &str,
        bound: Duration,
        holds: impl Fn(&Seen) -> bool,
    ) -> Result<()> {
        let began = Instant::now();
        loop {
            if holds(&lock(&self.seen)) {
                return Ok(());
            }
            if began.elapsed() > bound {
                let seen = lock(&self.seen);
                let seen: Vec<String> = seen.values().map(told).collect();
                let ms = bound.as_millis();
                let reason = format!("not within {ms} ms: {what}; seen: {}", seen.join(", "));
                return Err(Error::new(Step::Check, reason));
            }
            sleep(LOOK).await;
        }
    }
}

#[derive(Debug)]
struct Observer {
    client: AdminClient,
    log: Arc<Log>,
    seen: Arc<Mutex<Seen>>,
    id: InstanceId,
    admin: SocketAddr,
}

impl Observer {
    async fn run(self) {
        let mut last = None;
        loop {
            let status: Result<Status> = self.client.get(self.admin, STATUS_PATH).await;
            match status {
                Ok(status) => {
                    self.note(&status, &mut last).await;
                    lock(&self.seen).insert(self.id.clone(), status);
                }
                Err(_) => {
                    lock(&self.seen).remove(&self.id);
                    last = None;
                }
            }
            sleep(INTERVAL).await;
        }
    }

    /// Records what came into force. A node that isn't ready yet serves
    /// nothing, so what it holds until then is in force for nobody.
    async fn note(&self, status: &Status, last: &mut Option<Held>) {
        if status.phase < Phase::Ready || last.as_ref() == Some(&status.held) {
            return;
        }
        if let Some(held) = held_by(self.admin).await {
            let node = self.id.clone();
            let held = Arc::new(held);
            self.log.record(Event::InForce { node, held });
            *last = Some(status.held.clone());
        }
    }
}

fn told(status: &Status) -> String {
    let revision = |held: &Option<VersionInfo>| held.as_ref().map_or(0, |held| held.revision);
    format!(
        "{} {} {}/{}",
        status.instance,
        status.phase,
        revision(&status.held.catalogue),
        revision(&status.held.instances),
    )
}

fn lock(seen: &Mutex<Seen>) -> MutexGuard<'_, Seen> {
    seen.lock().unwrap_or_else(PoisonError::into_inner)
}
