//! The events of a demo.

use std::time::Duration;

use sassafrasspool_core::Error;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::Result;
use sassafrasspool_core::Step;
use sassafrasspool_core::Stream;
use sassafrasspool_wire::admin::AUDIT_PATH;
use sassafrasspool_wire::admin::AuditPage;
use sassafrasspool_wire::admin::AuditRecord;
use sassafrasspool_wire::admin::Held;
use sassafrasspool_wire::admin::VERSIONS_PATH;
use sassafrasspool_wire::admin::VersionInfo;
use sassafrasspool_wire::admin::Versions;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::demo::changes::WorkingCopy;
use crate::demo::fleet::Fleet;
use crate::demo::platform::Published;
use crate::demo::watch::Seen;
use crate::summary::Samples;

/// Ordinary changes before the bad one.
const CHANGES: u32 = 4;
/// Time between two changes.
const GAP: Duration = Duration::from_millis(700);
/// How long a bad version lies about before the next one.
const BAD_GAP: Duration = Duration::from_millis(900);
/// How long a killed worker stays away.
const AWAY: Duration = Duration::from_millis(700);
/// How long callers call between two hardships.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// How long a version may take until it is in force on every node.
const IN_FORCE: Duration = Duration::from_secs(11);
/// What the audit trail says of a version that came into force.
const APPLIED: &str = "applied";

/// What the events came to.
#[derive(Debug, Default)]
pub(in crate::demo) struct Played {
    /// From the publishing of a catalogue to its being in force on a node, for
    /// each change and node.
    pub(in crate::demo) convergence: Samples,
    /// Changes that came into force everywhere.
    pub(in crate::demo) changes: u32,
    /// Nodes that ran when the bad version was published.
    pub(in crate::demo) judges: usize,
    /// Nodes that fetched it and say that they refused it; the others didn't
    /// fetch it from anybody.
    pub(in crate::demo) refused: usize,
    /// Nodes that had it in force.
    pub(in crate::demo) misled: usize,
    /// How long a killed node took from its new start until it was ready.
    pub(in crate::demo) returned: Duration,
}

/// A play under way.
#[derive(Debug)]
pub(super) struct Play<'f> {
    copy: WorkingCopy,
    fleet: &'f mut Fleet,
    played: Played,
}

impl Play<'_> {
    pub(super) fn new(copy: WorkingCopy, fleet: &mut Fleet) -> Play<'_> {
        Play {
            copy,
            fleet,
            played: Played::default(),
        }
    }

    /// Lets everything happen.
    ///
    /// # Errors
    ///
    /// Fails if a version isn't in force everywhere in time, or a process
    /// doesn't start or stop as it should.
    pub(super) async fn run(mut self) -> Result<Played> {
        let first = self.instance(1)?;
        let last = self.instance(self.fleet.members.len() - 1)?;
        for _ in 0..CHANGES {
            self.change().await?;
            sleep(GAP).await;
        }
        self.bad_change().await?;
        self.change().await?;
        self.leave(&first).await?;
        sleep(SETTLE_TIME).await;
        self.die_and_return(&last).await?;
        self.change().await?;
        sleep(SETTLE_TIME).await;
        self.fleet.still_runs()?;
        Ok(self.played)
    }

    fn instance(&self, at: usize) -> Result<InstanceId> {
        let member = self.fleet.members.get(at);
        let member = member.ok_or_else(|| Error::new(Step::Check, "has too few workers"))?;
        Ok(member.id().clone())
    }

    /// An ordinary change, until it is in force on every node that runs.
    async fn change(&mut self) -> Result<()> {
        let text = self.copy.change();
        let published = self.fleet.publisher.catalogue(text).await?;
        self.in_force(Stream::Catalogue, published).await?;
        self.played.changes += 1;
        for id in self.fleet.running() {
            let took = self.took(&id, published).await?;
            self.played.convergence.add(took);
        }
        Ok(())
    }

    /// A version that no node may apply, in part or whole.
    async fn bad_change(&mut self) -> Result<()> {
        let text = self.copy.forgetful_change()?;
        let bad = self.fleet.publisher.catalogue(text).await?;
        sleep(BAD_GAP).await;
        for id in self.fleet.running() {
            let admin = self.fleet.member(&id)?.listen.admin;
            let versions: Versions = self.fleet.client.get(admin, VERSIONS_PATH).await?;
            let is_bad = |version: &VersionInfo| version.revision == bad.revision.get();
            self.played.judges += 1;
            self.played.refused += usize::from(versions.refused.as_ref().is_some_and(is_bad));
            self.played.misled += usize::from(versions.held.catalogue.as_ref().is_some_and(is_bad));
        }
        Ok(())
    }

    /// A planned stop, which the platform announces at the same time.
    async fn leave(&mut self, id: &InstanceId) -> Result<()> {
        self.fleet.publisher.leaving(id).await?;
        self.fleet.drain(id).await?;
        self.change().await?;
        let gone = self.fleet.publisher.gone(id).await?;
        self.in_force(Stream::Instances, gone).await
    }

    /// A sudden death, a change that the dead one misses, and its return.
    async fn die_and_return(&mut self, id: &InstanceId) -> Result<()> {
        self.fleet.kill(id).await?;
        self.change().await?;
        sleep(AWAY).await;
        let began = Instant::now();
        self.fleet.restart(id).await?;
        self.played.returned = began.elapsed();
        Ok(())
    }

    async fn in_force(&self, stream: Stream, published: Published) -> Result<()> {
        let running = self.fleet.running();
        let revision = published.revision.get();
        let holds = |seen: &Seen| {
            running.iter().all(|id| {
                let held = seen
                    .get(id)
                    .and_then(|status| held_of(&status.held, stream));
                held.is_some_and(|held| held.revision >= revision)
            })
        };
        let what = format!("{stream} {revision} is in force on every node");
        self.fleet.watch.wait(&what, IN_FORCE, holds).await
    }

    /// How long a node took to put a catalogue in force, by its audit trail.
    async fn took(&mut self, id: &InstanceId, published: Published) -> Result<Duration> {
        let admin = self.fleet.member(id)?.listen.admin;
        let page: AuditPage = self.fleet.client.get(admin, AUDIT_PATH).await?;
        let applied = |record: &&AuditRecord| {
            let version = record.version.as_ref();
            record.event == APPLIED
                && record.stream == Some(Stream::Catalogue)
                && version.is_some_and(|version| version.revision >= published.revision.get())
        };
        let record = page.records.iter().find(applied).ok_or_else(|| {
            let reason = format!(
                "has catalogue {} but no audit record of it",
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

fn held_of(held: &Held, stream: Stream) -> Option<&VersionInfo> {
    match stream {
        Stream::Catalogue => held.catalogue.as_ref(),
        Stream::Instances => held.instances.as_ref(),
    }
}
