//! The scripted events of a demo: changes, a drain, a kill and a restart.

use std::time::Duration;

use sassafrasspool_core::Error;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::Result;
use sassafrasspool_core::Step;
use sassafrasspool_core::Stream;
use sassafrasspool_wire::admin::AUDIT_PATH;
use sassafrasspool_wire::admin::AuditPage;
use sassafrasspool_wire::admin::AuditRecord;
use sassafrasspool_wire::admin::StreamVersions;
use sassafrasspool_wire::admin::VERSIONS_PATH;
use sassafrasspool_wire::admin::VersionInfo;
use sassafrasspool_wire::admin::Versions;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::demo::changes::WorkingCopy;
use crate::demo::fleet::Fleet;
use crate::demo::publisher::Published;
use crate::demo::status_poller::Statuses;
use crate::summary::Samples;

/// Valid changes before the invalid one.
const CHANGES_BEFORE_BAD: u32 = 4;
/// Time between two changes.
const CHANGE_INTERVAL: Duration = Duration::from_millis(700);
/// How long an invalid version is the newest before nodes are asked about it.
const BAD_VERSION_WAIT: Duration = Duration::from_millis(900);
/// How long a killed worker stays down after the change that it misses.
const DOWNTIME: Duration = Duration::from_millis(700);
/// How long callers keep calling between two faults.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// How long a version may take until it is in force on every node.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(11);
/// The audit event of a version that came into force.
const APPLIED_EVENT: &str = "applied";

/// The results of the scripted events.
#[derive(Debug, Default)]
pub(in crate::demo) struct ScriptResults {
    /// Time from the publication of a catalogue until it is in force on a node,
    /// for each change and node.
    pub(in crate::demo) convergence: Samples,
    /// Changes that came into force everywhere.
    pub(in crate::demo) applied_changes: u32,
    /// Nodes that ran when the invalid version was published.
    pub(in crate::demo) nodes_checked: usize,
    /// Of those, nodes that fetched it and report that they refused it. The
    /// others didn't fetch it.
    pub(in crate::demo) refused_bad: usize,
    /// Of those, nodes that had it in force.
    pub(in crate::demo) applied_bad: usize,
    /// Time from the restart of the killed node until it was ready.
    pub(in crate::demo) restart_time: Duration,
}

/// A script that is being run.
#[derive(Debug)]
pub(super) struct Script<'f> {
    copy: WorkingCopy,
    fleet: &'f mut Fleet,
    results: ScriptResults,
}

impl Script<'_> {
    pub(super) fn new(copy: WorkingCopy, fleet: &mut Fleet) -> Script<'_> {
        Script {
            copy,
            fleet,
            results: ScriptResults::default(),
        }
    }

    /// Runs all events in order.
    ///
    /// # Errors
    ///
    /// Fails if a version isn't in force everywhere in time, or if a process
    /// doesn't start, stop or keep running as expected.
    pub(super) async fn run(mut self) -> Result<ScriptResults> {
        let first = self.instance(1)?;
        let last = self.instance(self.fleet.members.len() - 1)?;
        for _ in 0..CHANGES_BEFORE_BAD {
            self.publish_change().await?;
            sleep(CHANGE_INTERVAL).await;
        }
        self.publish_bad_change().await?;
        self.publish_change().await?;
        self.drain_and_remove(&first).await?;
        sleep(SETTLE_TIME).await;
        self.kill_and_restart(&last).await?;
        self.publish_change().await?;
        sleep(SETTLE_TIME).await;
        self.fleet.check_running()?;
        Ok(self.results)
    }

    fn instance(&self, at: usize) -> Result<InstanceId> {
        let member = self.fleet.members.get(at);
        let member =
            member.ok_or_else(|| Error::new(Step::Check, "the deployment has too few workers"))?;
        Ok(member.id().clone())
    }

    /// Publishes a valid change and waits until it is in force on every running
    /// node.
    async fn publish_change(&mut self) -> Result<()> {
        let text = self.copy.raise_next_rate_limit();
        let published = self.fleet.publisher.publish_catalogue(text).await?;
        self.wait_until_in_force(Stream::Catalogue, published)
            .await?;
        self.results.applied_changes += 1;
        for id in self.fleet.running() {
            let elapsed = self.convergence_time(&id, published).await?;
            self.results.convergence.add(elapsed);
        }
        Ok(())
    }

    /// Publishes a version that no node may apply, in part or whole.
    async fn publish_bad_change(&mut self) -> Result<()> {
        let text = self.copy.dangling_route_change()?;
        let bad = self.fleet.publisher.publish_catalogue(text).await?;
        sleep(BAD_VERSION_WAIT).await;
        for id in self.fleet.running() {
            let admin = self.fleet.member(&id)?.listen.admin;
            let versions: Versions = self.fleet.client.get(admin, VERSIONS_PATH).await?;
            let is_bad = |version: &VersionInfo| version.revision == bad.revision.get();
            self.results.nodes_checked += 1;
            self.results.refused_bad += usize::from(versions.refused.as_ref().is_some_and(is_bad));
            self.results.applied_bad +=
                usize::from(versions.held.catalogue.as_ref().is_some_and(is_bad));
        }
        Ok(())
    }

    /// Drains a node. The platform lists it as leaving first, and removes it from
    /// the list afterwards.
    async fn drain_and_remove(&mut self, id: &InstanceId) -> Result<()> {
        self.fleet.publisher.publish_leaving(id).await?;
        self.fleet.drain(id).await?;
        self.publish_change().await?;
        let removed = self.fleet.publisher.publish_removed(id).await?;
        self.wait_until_in_force(Stream::Instances, removed).await
    }

    /// Kills a worker, publishes a change that it misses, and restarts it.
    async fn kill_and_restart(&mut self, id: &InstanceId) -> Result<()> {
        self.fleet.kill(id).await?;
        self.publish_change().await?;
        sleep(DOWNTIME).await;
        let began = Instant::now();
        self.fleet.restart(id).await?;
        self.results.restart_time = began.elapsed();
        Ok(())
    }

    async fn wait_until_in_force(&self, stream: Stream, published: Published) -> Result<()> {
        let running = self.fleet.running();
        let revision = published.revision.get();
        let in_force = |statuses: &Statuses| {
            running.iter().all(|id| {
                let held = statuses
                    .get(id)
                    .and_then(|status| held_version(&status.held, stream));
                held.is_some_and(|held| held.revision >= revision)
            })
        };
        let what = format!("{stream} {revision} is in force on every node");
        self.fleet
            .poller
            .wait(&what, IN_FORCE_TIMEOUT, in_force)
            .await
    }

    /// Time from the publication of a catalogue until it was in force on a node,
    /// from the node's audit trail.
    async fn convergence_time(
        &mut self,
        id: &InstanceId,
        published: Published,
    ) -> Result<Duration> {
        let admin = self.fleet.member(id)?.listen.admin;
        let page: AuditPage = self.fleet.client.get(admin, AUDIT_PATH).await?;
        let applied = |record: &&AuditRecord| {
            let version = record.version.as_ref();
            record.event == APPLIED_EVENT
                && record.stream == Some(Stream::Catalogue)
                && version.is_some_and(|version| version.revision >= published.revision.get())
        };
        let record = page.records.iter().find(applied).ok_or_else(|| {
            let reason = format!(
                "has catalogue {} in force without an audit record of it",
                published.revision
            );
            Error::new(Step::Check, reason).at_peer(id)
        })?;
        let sent_ms = published.sent_us / 1_000;
        Ok(Duration::from_millis(
            record.unix_ms.saturating_sub(sent_ms),
        ))
    }
}

fn held_version(held: &StreamVersions, stream: Stream) -> Option<&VersionInfo> {
    match stream {
        Stream::Catalogue => held.catalogue.as_ref(),
        Stream::Instances => held.instances.as_ref(),
    }
}
