//! All processes of a demo.

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
use sassafrasspool_standin::target::LedgerPages;
use tempfile::TempDir;
use tokio::time::Instant;
use tokio::time::sleep;

use self::plan::plan;
use self::platform_file::PlatformFile;
use super::deployment::Deployment;
use super::member;
use super::member::Member;
use super::member::ServiceFile;
use super::platform::Publisher;
use super::process::Process;
use super::role::Role;
use super::watch::Seen;
use super::watch::Watch;
use crate::chaos::events::Stopped;
use crate::chaos::log::Log;
use crate::load::LedgerRun;
use crate::load::Ports;

mod plan;
mod platform_file;
mod stop;

/// How long an admin address may take to answer.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two attempts to reach the platform.
const PAUSE: Duration = Duration::from_millis(10);
/// How long the platform may take to start.
const PLATFORM_START: Duration = Duration::from_secs(4);
/// How long all nodes may take until they are ready.
pub(super) const READY_BOUND: Duration = Duration::from_secs(9);

/// The running processes, what they are told and what they say.
#[derive(Debug)]
pub(super) struct Fleet {
    /// All workers, also those that were stopped.
    pub(super) members: Vec<Member>,
    /// The operators' side of the platform.
    pub(super) publisher: Publisher,
    /// What the nodes say.
    pub(super) watch: Watch,
    /// For asking them more.
    pub(super) client: AdminClient,
    /// The record of the run.
    pub(super) log: Arc<Log>,
    /// Planned stops that ended.
    pub(super) stops: Vec<Stopped>,
    platform: Process,
    dir: TempDir,
}

impl Fleet {
    /// Starts every process and waits until every node is ready.
    ///
    /// # Errors
    ///
    /// Fails if a process can't be started, ends or isn't ready in time.
    pub(super) async fn start(
        deployment: &Deployment,
        catalogue: String,
        service: &ServiceFile,
        log: Arc<Log>,
    ) -> Result<Fleet> {
        let dir = tempfile::Builder::new()
            .prefix("sassafrasspool-demo-")
            .tempdir();
        let dir =
            dir.map_err(|cause| Error::new(Step::Settings, "no directory").with_cause(cause))?;
        let client = AdminClient::new(ADMIN_TIMEOUT);
        let mut ports = Ports::new();
        let (reads, admin) = (take(&mut ports)?, take(&mut ports)?);
        let settings = PlatformFile {
            listen: reads,
            admin,
        };
        let mut platform = start_platform(dir.path(), &settings)?;
        let mut members = Vec::new();
        for planned in plan(deployment, &mut ports)? {
            members.push(Member::prepare(planned, reads, service, dir.path())?);
        }
        let mut publisher = Publisher::new(client.clone(), admin, Arc::clone(&log));
        until_up(&client, admin, &mut platform).await?;
        publisher.catalogue(catalogue).await?;
        let listed = members.iter().map(|member| member.instance.clone());
        publisher.instances(listed.collect()).await?;
        for member in &mut members {
            member.start_target()?;
            member.start_node()?;
        }
        let watched = members
            .iter()
            .map(|member| (member.id().clone(), member.listen.admin));
        let watch = Watch::start(&client, watched.collect(), &log);
        let mut fleet = Fleet {
            members,
            publisher,
            watch,
            client,
            log,
            stops: Vec::new(),
            platform,
            dir,
        };
        fleet.until_ready().await?;
        Ok(fleet)
    }

    /// Waits until every node that runs is ready.
    ///
    /// # Errors
    ///
    /// Fails if one has ended or isn't ready in time.
    pub(super) async fn until_ready(&mut self) -> Result<()> {
        let running = self.running();
        let ready = |seen: &Seen| {
            let phase = |id| seen.get(id).map(|status| status.phase);
            running.iter().all(|id| phase(id) == Some(Phase::Ready))
        };
        let waited = self
            .watch
            .wait("every node is ready", READY_BOUND, ready)
            .await;
        self.still_runs()?;
        waited?;
        for node in running {
            self.log.record(Event::NodeBack { node });
        }
        Ok(())
    }

    /// The instances whose nodes run.
    pub(super) fn running(&self) -> Vec<InstanceId> {
        let running = self.members.iter().filter(|member| member.node.is_some());
        running.map(|member| member.id().clone()).collect()
    }

    /// What all targets ran.
    ///
    /// # Errors
    ///
    /// Fails if a ledger can't be read or isn't whole.
    pub(super) async fn runs(&self) -> Result<Vec<LedgerRun>> {
        let mut runs = Vec::new();
        for (instance, member) in self.members.iter().enumerate() {
            let pages: LedgerPages = self.client.get(member.target_admin, "/ledger").await?;
            if pages.unrecorded > 0 {
                let reason = format!("the ledger lacks {} runs", pages.unrecorded);
                return Err(Error::new(Step::Check, reason).at_peer(member.id()));
            }
            let found = pages.runs.into_iter();
            runs.extend(found.map(|run| LedgerRun { instance, run }));
        }
        Ok(runs)
    }

    /// Keeps the processes' logs and tells where.
    pub(super) fn keep_logs(self) -> String {
        self.dir.keep().display().to_string()
    }

    /// Fails if a process has ended that should run.
    ///
    /// # Errors
    ///
    /// Fails with its name and exit status.
    pub(super) fn still_runs(&mut self) -> Result<()> {
        self.platform.still_runs()?;
        self.members.iter_mut().try_for_each(Member::still_runs)
    }
}

/// A free address.
fn take(ports: &mut Ports) -> Result<SocketAddr> {
    let taken = ports.take();
    taken.map_err(|cause| Error::new(Step::Connect, "no free port").with_cause(cause))
}

fn start_platform(dir: &Path, settings: &PlatformFile) -> Result<Process> {
    let file = dir.join("platform.yaml");
    member::write(&file, settings)?;
    Process::start("platform", Role::Platform, &file, &dir.join("platform.log"))
}

async fn until_up(client: &AdminClient, admin: SocketAddr, platform: &mut Process) -> Result<()> {
    let began = Instant::now();
    loop {
        let stats: Result<PlatformStats> = client.get(admin, "/stats").await;
        platform.still_runs()?;
        match stats {
            Ok(_) => return Ok(()),
            Err(err) if began.elapsed() > PLATFORM_START => return Err(err),
            Err(_) => sleep(PAUSE).await,
        }
    }
}
