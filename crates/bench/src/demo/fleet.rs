//! The processes of a demo.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use sassafrasspool_core::Error;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::Phase;
use sassafrasspool_core::Result;
use sassafrasspool_core::Step;
use sassafrasspool_core::history::Event;
use sassafrasspool_ctl::AdminClient;
use sassafrasspool_standin::platform::PlatformStats;
use sassafrasspool_standin::target::LedgerEntries;
use tempfile::TempDir;
use tokio::time::Instant;
use tokio::time::sleep;

use self::plan::plan;
use self::platform_file::PlatformFile;
use super::deployment::Deployment;
use super::member;
use super::member::Member;
use super::member::ServiceFile;
use super::process::Process;
use super::publisher::Publisher;
use super::role::Role;
use super::status_poller::StatusPoller;
use super::status_poller::Statuses;
use crate::chaos::events::NodeStop;
use crate::chaos::log::Log;
use crate::load::LedgerRun;
use crate::load::Ports;

mod plan;
mod platform_file;
mod stop;

/// How long a request to an admin address may take.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two attempts to reach the platform.
const PLATFORM_RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// How long the platform may take to start.
const PLATFORM_START_TIMEOUT: Duration = Duration::from_secs(4);
/// How long the start of all nodes may take until each is ready.
pub(super) const READY_TIMEOUT: Duration = Duration::from_secs(9);

/// The processes of a demo, with access to their admin addresses.
#[derive(Debug)]
pub(super) struct Fleet {
    /// All workers, stopped ones included.
    pub(super) members: Vec<Member>,
    /// Publishes to the platform.
    pub(super) publisher: Publisher,
    /// Polls the nodes' statuses.
    pub(super) poller: StatusPoller,
    /// Client for the admin addresses.
    pub(super) client: AdminClient,
    /// The log of the run's events.
    pub(super) log: Arc<Log>,
    /// Completed drains.
    pub(super) stops: Vec<NodeStop>,
    platform: Process,
    dir: TempDir,
}

impl Fleet {
    /// Starts every process and waits until every node is ready.
    ///
    /// # Errors
    ///
    /// Fails if a process can't be started, exits or isn't ready in time.
    pub(super) async fn start(
        deployment: &Deployment,
        catalogue: String,
        service_times: &ServiceFile,
        log: Arc<Log>,
    ) -> Result<Fleet> {
        let dir = tempfile::Builder::new()
            .prefix("sassafrasspool-demo-")
            .tempdir();
        let dir = dir.map_err(|cause| {
            Error::new(Step::Settings, "a temporary directory can't be created").with_cause(cause)
        })?;
        let client = AdminClient::new(ADMIN_TIMEOUT);
        let mut ports = Ports::new();
        let (listen, admin) = (reserve_addr(&mut ports)?, reserve_addr(&mut ports)?);
        let settings = PlatformFile { listen, admin };
        let mut platform = start_platform(dir.path(), &settings)?;
        let mut members = Vec::new();
        for planned in plan(deployment, &mut ports)? {
            members.push(Member::prepare(planned, listen, service_times, dir.path())?);
        }
        let mut publisher = Publisher::new(client.clone(), admin, Arc::clone(&log));
        wait_until_platform_up(&client, admin, &mut platform).await?;
        publisher.publish_catalogue(catalogue).await?;
        let listed = members.iter().map(|member| member.instance.clone());
        publisher.publish_instances(listed.collect()).await?;
        for member in &mut members {
            member.start_target()?;
            member.start_node()?;
        }
        let nodes = members
            .iter()
            .map(|member| (member.id().clone(), member.listen.admin));
        let poller = StatusPoller::start(&client, nodes.collect(), &log);
        let mut fleet = Fleet {
            members,
            publisher,
            poller,
            client,
            log,
            stops: Vec::new(),
            platform,
            dir,
        };
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    /// Waits until every running node is ready.
    ///
    /// # Errors
    ///
    /// Fails if one has exited or isn't ready in time.
    pub(super) async fn wait_until_ready(&mut self) -> Result<()> {
        let running = self.running();
        let ready = |statuses: &Statuses| {
            let phase = |id| statuses.get(id).map(|status| status.phase);
            running.iter().all(|id| phase(id) == Some(Phase::Ready))
        };
        let waited = self
            .poller
            .wait("every node is ready", READY_TIMEOUT, ready)
            .await;
        self.check_running()?;
        waited?;
        for node in running {
            self.log.record(Event::NodeBack { node });
        }
        Ok(())
    }

    /// The instances whose nodes are running.
    pub(super) fn running(&self) -> Vec<InstanceId> {
        let running = self.members.iter().filter(|member| member.node.is_some());
        running.map(|member| member.id().clone()).collect()
    }

    /// The runs in all targets' ledgers.
    ///
    /// # Errors
    ///
    /// Fails if a ledger can't be read or is incomplete.
    pub(super) async fn ledger_runs(&self) -> Result<Vec<LedgerRun>> {
        let mut runs = Vec::new();
        for (instance, member) in self.members.iter().enumerate() {
            let ledger: LedgerEntries = self.client.get(member.target_admin, "/ledger").await?;
            if ledger.unrecorded > 0 {
                let reason = format!("the ledger lacks {} runs", ledger.unrecorded);
                return Err(Error::new(Step::Check, reason).at_peer(member.id()));
            }
            let found = ledger.runs.into_iter();
            runs.extend(found.map(|run| LedgerRun { instance, run }));
        }
        Ok(runs)
    }

    /// Keeps the processes' logs and gives their directory.
    pub(super) fn keep_logs(self) -> String {
        self.dir.keep().display().to_string()
    }

    /// Checks that every process that should run does.
    ///
    /// # Errors
    ///
    /// Fails with the name and exit status of a process that has exited.
    pub(super) fn check_running(&mut self) -> Result<()> {
        self.platform.check_running()?;
        self.members.iter_mut().try_for_each(Member::check_running)
    }
}

/// Reserves a free address.
fn reserve_addr(ports: &mut Ports) -> Result<SocketAddr> {
    let addr = ports.take();
    addr.map_err(|cause| Error::new(Step::Connect, "no free port").with_cause(cause))
}

fn start_platform(dir: &Path, settings: &PlatformFile) -> Result<Process> {
    let file = dir.join("platform.yaml");
    member::write_settings(&file, settings)?;
    Process::start("platform", Role::Platform, &file, &dir.join("platform.log"))
}

async fn wait_until_platform_up(
    client: &AdminClient,
    admin: SocketAddr,
    platform: &mut Process,
) -> Result<()> {
    let began = Instant::now();
    loop {
        let stats: Result<PlatformStats> = client.get(admin, "/stats").await;
        platform.check_running()?;
        match stats {
            Ok(_) => return Ok(()),
            Err(err) if began.elapsed() > PLATFORM_START_TIMEOUT => return Err(err),
            Err(_) => sleep(PLATFORM_RETRY_INTERVAL).await,
        }
    }
}
