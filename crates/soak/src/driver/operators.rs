//! Publishes catalogues and instance lists as operators and the platform do.

use miette::IntoDiagnostic;
use sassafrasspool_bench::chaos;
use sassafrasspool_bench::chaos::log::Log;
use sassafrasspool_bench::chaos::log::unix_now_us;
use sassafrasspool_bench::chaos::publication;
use sassafrasspool_core::Epoch;
use sassafrasspool_core::Instance;
use sassafrasspool_core::InstanceState;
use sassafrasspool_core::Revision;
use sassafrasspool_core::Stream;
use sassafrasspool_core::history::Event;
use sassafrasspool_core::history::Restore;
use sassafrasspool_standin::platform::CopyRevisions;
use sassafrasspool_standin::platform::PlatformSwitches;
use tokio::sync::Mutex;

use crate::catalogue;
use crate::fleet::Fleet;
use crate::standin::StandIn;
use crate::verdict::PublishedCatalogue;

/// The most publications of each stream that a copy of the platform's data lacks. The
/// platform keeps more values than these.
const MAX_LOST_PUBLICATIONS: u64 = 4;

/// Publishes versions, and records each one before nodes can read it.
#[derive(Debug)]
pub(super) struct Operators(Mutex<Published>);

#[derive(Debug)]
struct Published {
    changes: u64,
    epoch: Epoch,
    catalogue_revision: u64,
    list_revision: u64,
    /// The evacuated failure domains, each once for every order in force.
    evacuated: Vec<&'static str>,
    /// The valid catalogues that were published.
    valid_catalogues: Vec<PublishedCatalogue>,
    /// All instances; one that isn't listed has no state.
    instances: Vec<(Instance, Option<InstanceState>)>,
}

impl Operators {
    pub(super) fn new(list: Vec<Instance>, log: &Log) -> miette::Result<Operators> {
        let first = revision_in(Epoch::FIRST, 1)?;
        let text = catalogue::text(0, &[]);
        log.record(publication::catalogue_published(first, &text)?);
        log.record(publication::list_published(first, &list)?);
        let instances = list.into_iter().map(|it| (it, Some(InstanceState::Live)));
        Ok(Operators(Mutex::new(Published {
            changes: 0,
            epoch: Epoch::FIRST,
            catalogue_revision: 1,
            list_revision: 1,
            evacuated: Vec::new(),
            valid_catalogues: vec![PublishedCatalogue {
                revision: first,
                at_us: unix_now_us(),
                evacuated: Vec::new(),
            }],
            instances: instances.collect(),
        })))
    }

    /// Publishes a valid or an invalid catalogue.
    pub(super) async fn publish(
        &self,
        valid: bool,
        platform: &StandIn,
        log: &Log,
    ) -> miette::Result<()> {
        let mut published = self.0.lock().await;
        if valid {
            return published.publish_valid(platform, log).await;
        }
        let revision = published.next_catalogue_revision()?;
        let text = chaos::catalogue::bad_text(published.changes);
        let version = publication::parse_catalogue(revision, &text)?.version();
        let stream = Stream::Catalogue;
        log.record(Event::PublishedBad { stream, version });
        platform.publish("/catalogue", text).await
    }

    /// Orders the evacuation of a failure domain, or withdraws one such order.
    pub(super) async fn change_evacuation(
        &self,
        domain: &'static str,
        ordered: bool,
        platform: &StandIn,
        log: &Log,
    ) -> miette::Result<()> {
        let mut published = self.0.lock().await;
        let in_force = published.evacuated.iter().position(|it| *it == domain);
        match (ordered, in_force) {
            (true, _) => published.evacuated.push(domain),
            (false, Some(at)) => drop(published.evacuated.remove(at)),
            (false, None) => {}
        }
        published.publish_valid(platform, log).await
    }

    /// The valid catalogues in the order of their publication.
    pub(super) async fn catalogues(&self) -> Vec<PublishedCatalogue> {
        self.0.lock().await.valid_catalogues.clone()
    }

    /// Publishes the instance list with a new state of one instance, or without it.
    pub(super) async fn publish_state(
        &self,
        n: usize,
        state: Option<InstanceState>,
        platform: &StandIn,
        log: &Log,
    ) -> miette::Result<()> {
        let mut published = self.0.lock().await;
        published.instances[n].1 = state;
        published.publish_list(platform, log).await
    }

    /// Returns the platform to a copy that lacks the last publications.
    pub(super) async fn restore(&self, platform: &StandIn, log: &Log) -> miette::Result<()> {
        let mut published = self.0.lock().await;
        let kept = |newest: u64| newest.saturating_sub(MAX_LOST_PUBLICATIONS).max(1);
        published.epoch = Epoch::new(published.epoch.get() + 1);
        published.catalogue_revision = kept(published.catalogue_revision);
        published.list_revision = kept(published.list_revision);
        let copy = CopyRevisions {
            catalogue: published.catalogue_revision,
            instances: published.list_revision,
        };
        log.record(Event::Restored(Restore {
            epoch: published.epoch,
            catalogue: copy.catalogue,
            instances: copy.instances,
        }));
        let switches = PlatformSwitches {
            restore: Some(copy),
            ..PlatformSwitches::default()
        };
        platform.set_switches(&switches).await
    }

    /// Publishes again what a copy may lack.
    pub(super) async fn repeat_lost(&self, platform: &StandIn, log: &Log) -> miette::Result<()> {
        let mut published = self.0.lock().await;
        published.publish_valid(platform, log).await?;
        published.publish_list(platform, log).await
    }
}

impl Published {
    fn next_catalogue_revision(&mut self) -> miette::Result<Revision> {
        self.catalogue_revision += 1;
        revision_in(self.epoch, self.catalogue_revision)
    }

    /// Publishes the listed instances with their states.
    async fn publish_list(&mut self, platform: &StandIn, log: &Log) -> miette::Result<()> {
        self.list_revision += 1;
        let listed = self.instances.iter().filter_map(|(instance, state)| {
            let state = (*state)?;
            Some(Instance {
                state,
                ..instance.clone()
            })
        });
        let listed: Vec<Instance> = listed.collect();
        let revision = revision_in(self.epoch, self.list_revision)?;
        log.record(publication::list_published(revision, &listed)?);
        let body = Fleet::list_body(&listed);
        platform.publish("/instances", body).await
    }

    /// Publishes the next valid catalogue, with all evacuations that are ordered.
    async fn publish_valid(&mut self, platform: &StandIn, log: &Log) -> miette::Result<()> {
        let revision = self.next_catalogue_revision()?;
        self.changes += 1;
        let mut evacuated = self.evacuated.clone();
        evacuated.sort_unstable();
        evacuated.dedup();
        let text = catalogue::text(self.changes, &evacuated);
        log.record(publication::catalogue_published(revision, &text)?);
        self.valid_catalogues.push(PublishedCatalogue {
            revision,
            at_us: unix_now_us(),
            evacuated,
        });
        platform.publish("/catalogue", text).await
    }
}

fn revision_in(epoch: Epoch, number: u64) -> miette::Result<Revision> {
    Revision::in_epoch(epoch, number).into_diagnostic()
}
