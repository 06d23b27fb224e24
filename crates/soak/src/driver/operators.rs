//! What operators and the platform publish in a run.

use sassafrasspool_bench::chaos::catalogue;
use sassafrasspool_bench::chaos::log::Log;
use sassafrasspool_bench::chaos::published;
use sassafrasspool_core::Instance;
use sassafrasspool_core::InstanceState;
use sassafrasspool_core::Stream;
use sassafrasspool_core::history::Event;
use tokio::sync::Mutex;

use crate::fleet::Fleet;
use crate::standin::StandIn;

/// Publishes, and records each version before it can be seen.
#[derive(Debug)]
pub(super) struct Operators(Mutex<Published>);

#[derive(Debug)]
struct Published {
    changes: u64,
    catalogue: u64,
    instances: u64,
    /// All instances; those that are off the list have no state.
    all: Vec<(Instance, Option<InstanceState>)>,
}

impl Operators {
    pub(super) fn new(list: Vec<Instance>, log: &Log) -> miette::Result<Operators> {
        log.record(published::good_catalogue(1, &catalogue::text(0))?);
        log.record(published::good_list(1, &list)?);
        let all = list.into_iter().map(|it| (it, Some(InstanceState::Live)));
        Ok(Operators(Mutex::new(Published {
            changes: 0,
            catalogue: 1,
            instances: 1,
            all: all.collect(),
        })))
    }

    /// Publishes a catalogue that binds, or one that doesn't.
    pub(super) async fn publish(
        &self,
        good: bool,
        platform: &StandIn,
        log: &Log,
    ) -> miette::Result<()> {
        let mut published = self.0.lock().await;
        published.catalogue += 1;
        let revision = published.catalogue;
        let text = match good {
            true => {
                published.changes += 1;
                let text = catalogue::text(published.changes);
                log.record(published::good_catalogue(revision, &text)?);
                text
            }
            false => {
                let text = catalogue::bad_text(published.changes);
                let version = published::catalogue_of(revision, &text)?.version();
                let stream = Stream::Catalogue;
                log.record(Event::PublishedBad { stream, version });
                text
            }
        };
        platform.publish("/catalogue", text).await
    }

    /// Lists an instance in a state, or takes it off the list.
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
