//! Polls the status of every node.

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
use sassafrasspool_wire::admin::STATUS_PATH;
use sassafrasspool_wire::admin::Status;
use sassafrasspool_wire::admin::StreamVersions;
use sassafrasspool_wire::admin::VersionInfo;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::chaos::log::Log;
use crate::chaos::observer::fetch_snapshot_facts;

/// Time between two status requests to a node.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two checks of a condition on the statuses.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// The newest status of each node that answers.
pub(super) type Statuses = BTreeMap<InstanceId, Status>;

/// Polls the status of all nodes until it is dropped, and records in the log which
/// versions came into force.
#[derive(Debug)]
pub(super) struct StatusPoller {
    statuses: Arc<Mutex<Statuses>>,
    _tasks: JoinSet<()>,
}

impl StatusPoller {
    /// Starts polling the admin addresses of all instances.
    pub(super) fn start(
        client: &AdminClient,
        nodes: Vec<(InstanceId, SocketAddr)>,
        log: &Arc<Log>,
    ) -> StatusPoller {
        let statuses = Arc::new(Mutex::default());
        let mut tasks = JoinSet::new();
        for (id, admin) in nodes {
            let poller = NodePoller {
                client: client.clone(),
                log: Arc::clone(log),
                statuses: Arc::clone(&statuses),
                id,
                admin,
            };
            tasks.spawn(poller.run());
        }
        StatusPoller {
            statuses,
            _tasks: tasks,
        }
    }

    /// The statuses now.
    pub(super) fn statuses(&self) -> Statuses {
        lock(&self.statuses).clone()
    }

    /// Waits until `condition` holds; `what` describes it in the error.
    ///
    /// # Errors
    ///
    /// Fails if that takes longer than `timeout`.
    pub(super) async fn wait(
        &self,
        what: &str,
        timeout: Duration,
        condition: impl Fn(&Statuses) -> bool,
    ) -> Result<()> {
        let began = Instant::now();
        loop {
            if condition(&lock(&self.statuses)) {
                return Ok(());
            }
            if began.elapsed() > timeout {
                let statuses = lock(&self.statuses);
                let statuses: Vec<String> = statuses.values().map(describe).collect();
                let ms = timeout.as_millis();
                let reason = format!("not within {ms} ms: {what}; seen: {}", statuses.join(", "));
                return Err(Error::new(Step::Check, reason));
            }
            sleep(CHECK_INTERVAL).await;
        }
    }
}

#[derive(Debug)]
struct NodePoller {
    client: AdminClient,
    log: Arc<Log>,
    statuses: Arc<Mutex<Statuses>>,
    id: InstanceId,
    admin: SocketAddr,
}

impl NodePoller {
    async fn run(self) {
        let mut last = None;
        loop {
            let status: Result<Status> = self.client.get(self.admin, STATUS_PATH).await;
            match status {
                Ok(status) => {
                    self.record_in_force(&status, &mut last).await;
                    lock(&self.statuses).insert(self.id.clone(), status);
                }
                Err(_) => {
                    lock(&self.statuses).remove(&self.id);
                    last = None;
                }
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Records the versions that came into force. A node that isn't ready yet
    /// serves no request, so a version that it holds until then doesn't count as
    /// in force.
    async fn record_in_force(&self, status: &Status, last: &mut Option<StreamVersions>) {
        if status.phase < Phase::Ready || last.as_ref() == Some(&status.held) {
            return;
        }
        if let Some(held) = fetch_snapshot_facts(self.admin).await {
            let node = self.id.clone();
            let held = Arc::new(held);
            self.log.record(Event::InForce { node, held });
            *last = Some(status.held.clone());
        }
    }
}

fn describe(status: &Status) -> String {
    let revision = |held: &Option<VersionInfo>| held.as_ref().map_or(0, |held| held.revision);
    format!(
        "{} {} {}/{}",
        status.instance,
        status.phase,
        revision(&status.held.catalogue),
        revision(&status.held.instances),
    )
}

fn lock(statuses: &Mutex<Statuses>) -> MutexGuard<'_, Statuses> {
    statuses.lock().unwrap_or_else(PoisonError::into_inner)
}
