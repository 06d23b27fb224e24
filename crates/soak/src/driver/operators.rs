//! Publishes catalogues and instance lists as operators and the platform do.

use sassafrasspool_bench::chaos;
use sassafrasspool_bench::chaos::log::Log;
use sassafrasspool_bench::chaos::log::unix_now_us;
use sassafrasspool_bench::chaos::publication;
use sassafrasspool_core::Instance;
use sassafrasspool_core::InstanceState;
use sassafrasspool_core::Stream;
use sassafrasspool_core::history::Event;
use tokio::sync::Mutex;

use crate::catalogue;
use crate::fleet::Fleet;
use crate::standin::StandIn;
use crate::verdict::PublishedCatalogue;

/// Publishes versions, and records each one before nodes can read it.
#[derive(Debug)]
pub(super) struct Operators(Mutex<Published>);

#[derive(Debug)]
struct Published {
    changes: u64,
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
        log.record(publication::catalogue_published(
            1,
            &catalogue::text(0, &[]),
        )?);
        log.record(publication::list_published(1, &list)?);
        let instances = list.into_iter().map(|it| (it, Some(InstanceState::Live)));
        Ok(Operators(Mutex::new(Published {
            changes: 0,
            catalogue_revision: 1,
            list_revision: 1,
            evacuated: Vec::new(),
            valid_catalogues: vec![PublishedCatalogue {
                revision: 1,
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
        published.catalogue_revision += 1;
        let text = chaos::catalogue::bad_text(published.changes);
        let version = publication::parse_catalogue(published.catalogue_revision, &text)?.version();
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
        published.list_revision += 1;
        published.instances[n].1 = state;
        let listed = published.instances.iter().filter_map(|(instance, state)| {
            let state = (*state)?;
            Some(Instance {
                state,
                ..instance.clone()
            })
        });
        let listed: Vec<Instance> = listed.collect();
        log.record(publication::list_published(
            published.list_revision,
            &listed,
        )?);
        let body = Fleet::list_body(&listed);
        platform.publish("/instances", body).await
    }
}

impl Published {
    /// Publishes the next valid catalogue, with all evacuations that are ordered.
    async fn publish_valid(&mut self, platform: &StandIn, log: &Log) -> miette::Result<()> {
        self.catalogue_revision += 1;
        self.changes += 1;
        let mut evacuated = self.evacuated.clone();
        evacuated.sort_unstable();
        evacuated.dedup();
        let text = catalogue::text(self.changes, &evacuated);
        log.record(publication::catalogue_published(
            self.catalogue_revision,
            &text,
        )?);
        self.valid_catalogues.push(PublishedCatalogue {
            revision: self.catalogue_revision,
            at_us: unix_now_us(),
            evacuated,
        });
        platform.publish("/catalogue", text).await
    }
}
