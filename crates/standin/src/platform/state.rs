//! All that a platform stand-in holds, behind one lock.

use std::time::Duration;

use bytes::Bytes;
use sassafrasspool_core::Instance;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::Revision;
use sassafrasspool_core::Stream;
use tokio::time::Instant;

use super::instance_list::InstanceChange;
use super::instance_list::ListBody;
use super::published_value::PublishedValue;
use super::read_budget::ReadBudget;
use super::read_counter::ReadCounter;
use super::refusal::Refusal;
use super::settings::PlatformSettings;
use super::stream_values::StreamValues;

/// What is published, switched and counted.
///
/// # Invariants
///
/// `list` is the content of the newest value in `instances`.
#[derive(Debug)]
pub(super) struct State {
    catalogue: StreamValues,
    instances: StreamValues,
    list: Vec<Instance>,
    budget: ReadBudget,
    /// Calls so far.
    pub(super) reads: ReadCounter,
    /// Whether every read fails.
    pub(super) outage: bool,
    /// Whether nothing is answered.
    pub(super) silent: bool,
    /// How long each answer is held back.
    pub(super) answer_delay: Duration,
    /// When lists that are published from now on are seen.
    pub(super) list_lag: Duration,
}

/// What a read finds at one moment.
#[derive(Debug)]
pub(super) enum ReadResult {
    /// The source is out.
    Outage,
    /// Nothing was published yet.
    NothingPublished,
    /// A value that the reader doesn't have.
    Value(PublishedValue),
    /// Nothing newer than what the reader has.
    Unchanged(Revision),
}

impl State {
    /// Nothing published, no fault switched on.
    pub(super) fn new(cfg: &PlatformSettings, now: Instant) -> State {
        State {
            catalogue: StreamValues::default(),
            instances: StreamValues::default(),
            list: Vec::new(),
            budget: ReadBudget::new(cfg.reads_per_s, cfg.burst(), now),
            reads: ReadCounter::new(now),
            outage: false,
            silent: false,
            answer_delay: Duration::ZERO,
            list_lag: Duration::ZERO,
        }
    }

    /// Counts a call and takes it from the budget.
    ///
    /// # Errors
    ///
    /// Gives how long to wait if the budget is spent.
    pub(super) fn admit(&mut self, now: Instant) -> Result<(), Duration> {
        self.reads.count(now);
        let admitted = self.budget.try_take(now);
        if admitted.is_err() {
            self.reads.count_refused();
        }
        admitted
    }

    /// What a reader that has `after` finds.
    pub(super) fn find(&self, stream: Stream, after: Option<u64>, now: Instant) -> ReadResult {
        if self.outage {
            return ReadResult::Outage;
        }
        let Some(value) = self.values(stream).visible(now) else {
            return ReadResult::NothingPublished;
        };
        match after {
            Some(after) if value.revision.get() <= after => ReadResult::Unchanged(value.revision),
            _ => ReadResult::Value(value.clone()),
        }
    }

    /// The values of `stream`.
    pub(super) fn values(&self, stream: Stream) -> &StreamValues {
        match stream {
            Stream::Catalogue => &self.catalogue,
            Stream::Instances => &self.instances,
        }
    }

    /// The values of `stream`, to switch what readers see.
    pub(super) fn values_mut(&mut self, stream: Stream) -> &mut StreamValues {
        match stream {
            Stream::Catalogue => &mut self.catalogue,
            Stream::Instances => &mut self.instances,
        }
    }

    /// Publishes a catalogue, whatever its text says.
    pub(super) fn publish_catalogue(
        &mut self,
        text: Bytes,
        forced: Option<Revision>,
        now: Instant,
    ) -> Result<Revision, Refusal> {
        self.catalogue.publish(text, forced, now, Duration::ZERO)
    }

    /// Publishes an instance list.
    pub(super) fn publish_instances(
        &mut self,
        list: Vec<Instance>,
        forced: Option<Revision>,
        now: Instant,
    ) -> Result<Revision, Refusal> {
        let body = ListBody::encode(&list)?;
        let revision = self.instances.publish(body, forced, now, self.list_lag)?;
        // INVARIANT: The value just published was encoded from this list.
        self.list = list;
        Ok(revision)
    }

    /// Publishes the list with one instance changed.
    pub(super) fn change_instance(
        &mut self,
        id: &InstanceId,
        change: InstanceChange,
        now: Instant,
    ) -> Result<Revision, Refusal> {
        let mut list = self.list.clone();
        change.apply(id, &mut list)?;
        self.publish_instances(list, None, now)
    }

    /// Switches staleness of both streams.
    pub(super) fn set_stale(&mut self, stale: bool, now: Instant) {
        for values in [&mut self.catalogue, &mut self.instances] {
            match stale {
                true => values.freeze(now),
                false => values.unfreeze(),
            }
        }
    }
}
