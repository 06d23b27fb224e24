//! Publishes catalogues and instance lists as operators and the platform do.

use sassafrasspool_bench::chaos;
use sassafrasspool_bench::chaos::log::Log;
use sassafrasspool_bench::chaos::log::now_us;
use sassafrasspool_bench::chaos::published;
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
    catalogue: u64,
    instances: u64,
    /// The evacuated failure domains, each once for every order in force.
    evacuated: Vec<&'static str>,
    /// The valid catalogues that were published.
    bound: Vec<PublishedCatalogue>,
    /// All instances; one that isn't listed has no state.
    all: Vec<(Instance, Option<InstanceState>)>,
}

impl Operators {
    pub(super) fn new(list: Vec<Instance>, log: &Log) -> miette::Result<Operators> {
        log.record(published::good_catalogue(1, &catalogue::text(0, &[]))?);
        log.record(published::good_list(1, &list)?);
        let all = list.into_iter().map(|it| (it, Some(InstanceState::Live)));
        Ok(Operators(Mutex::new(Published {
            changes: 0,
            catalogue: 1,
            instances: 1,
            evacuated: Vec::new(),
            bound: vec![PublishedCatalogue {
                revision: 1,
                at_us: now_us(),
                evacuated: Vec::new(),
            }],
            all: all.collect(),
        })))
    }

    /// Publishes a valid or an invalid catalogue.
    pub(super) async fn publish(
        &self,
        good: bool,
        platform: &StandIn,
        log: &Log,
    ) -> miette::Result<()> {
        let mut published = self.0.lock().await;
        if good {
            return published.publish_good(platform, log).await;
        }
        published.catalogue += 1;
        let text = chaos::catalogue::bad_text(published.changes);
        let version = published::catalogue_of(published.catalogue, &text)?.version();
        let stream = Stream::Catalogue;
        log.record(Event::PublishedBad { stream, version });
        platform.publish("/catalogue", text).await
    }

    /// Orders the evacuation of a failure domain, or withdraws one such order.
    pub(super) async fn evacuate(
        &self,
        domain: &'static str,
        ordered: bool,
        platform: &StandIn,
        log: &Log,
    ) -> miette::Result<()> {
        let mut published = self.0.lock().await;
        let held = published.evacuated.iter().position(|it| *it == domain);
        match (ordered, held) {
            (true, _) => published.evacuated.push(domain),
            (false, Some(at)) => drop(published.evacuated.remove(at)),
            (false, None) => {}
        }
        published.publish_good(platform, log).await
    }

    /// The valid catalogues in the order of their publication.
    pub(super) async fn catalogues(&self) -> Vec<PublishedCatalogue> {
        self.0.lock().await.bound.clone()
    }

    /// Publishes the instance list with a new state of one instance, or without it.
    pub(super) async fn list_as(
        &self,
        n: usize,
        state: Option<InstanceState>,
        platform: &StandIn,
        log: &Log,
    ) -> miette::Result<()> {
        let mut published = self.0.lock().await;
        published.instances += 1;
        published.all[n].1 = state;
        let listed = published.all.iter().filter_map(|(instance, state)| {
            let state = (*state)?;
            Some(Instance {
                state,
                ..instance.clone()
            })
        });
        let listed: Vec<Instance> = listed.collect();
        log.record(published::good_list(published.instances, &listed)?);
        let body = Fleet::list_body(&listed);
        platform.publish("/instances", body).await
    }
}

impl Published {
    /// Publishes the next valid catalogue, with all evacuations that are ordered.
    async fn publish_good(&mut self, platform: &StandIn, log: &Log) -> miette::Result<()> {
        self.catalogue += 1;
        self.changes += 1;
        let mut evacuated = self.evacuated.clone();
        evacuated.sort_unstable();
        evacuated.dedup();
        let text = catalogue::text(self.changes, &evacuated);
        log.record(published::good_catalogue(self.catalogue, &text)?);
        self.bound.push(PublishedCatalogue {
            revision: self.catalogue,
            at_us: now_us(),
            evacuated,
        });
        platform.publish("/catalogue", text).await
    }
}
