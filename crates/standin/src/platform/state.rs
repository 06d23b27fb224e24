//! The state of a platform stand-in, which one lock guards.

use std::time::Duration;

use bytes::Bytes;
use sassafrasspool_core::Epoch;
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
use super::switches::CopyRevisions;

/// The published values, the switches and the counts.
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
    /// Counts the calls on the read port.
    pub(super) reads: ReadCounter,
    /// The number of returns from an older copy.
    epoch: Epoch,
    /// Whether every read is answered with 503.
    pub(super) outage: bool,
    /// Whether reads stay unanswered.
    pub(super) silent: bool,
    /// The delay between determining an answer and sending it.
    pub(super) answer_delay: Duration,
    /// The delay until lists published from now on become visible.
    pub(super) list_lag: Duration,
}

/// The result of a read at one moment.
#[derive(Debug)]
pub(super) enum ReadResult {
    /// An outage is switched on, or the platform stops.
    Outage,
    /// No value is visible yet.
    NothingPublished,
    /// A value newer than the reader's revision.
    Value(PublishedValue),
    /// The visible value, of this revision, isn't newer than the reader's.
    Unchanged(Revision),
}

impl State {
    /// The state without values and with all faults switched off.
    pub(super) fn new(cfg: &PlatformSettings, now: Instant) -> State {
        State {
            catalogue: StreamValues::default(),
            instances: StreamValues::default(),
            list: Vec::new(),
            budget: ReadBudget::new(cfg.reads_per_s, cfg.burst(), now),
            reads: ReadCounter::new(now),
            epoch: Epoch::FIRST,
            outage: false,
            silent: false,
            answer_delay: Duration::ZERO,
            list_lag: Duration::ZERO,
        }
    }

    /// Counts a call and takes a token for it from the budget.
    ///
    /// # Errors
    ///
    /// Returns the time until the next token if the budget is exhausted.
    pub(super) fn admit(&mut self, now: Instant) -> Result<(), Duration> {
        self.reads.count(now);
        let admitted = self.budget.try_take(now);
        if admitted.is_err() {
            self.reads.count_refused();
        }
        admitted
    }

    /// The result of a read by a reader that has revision `after`. A reader with a
    /// revision of another epoch gets the visible value.
    pub(super) fn find(&self, stream: Stream, after: Option<Revision>, now: Instant) -> ReadResult {
        if self.outage {
            return ReadResult::Outage;
        }
        let Some(value) = self.values(stream).visible(now) else {
            return ReadResult::NothingPublished;
        };
        let after = after.filter(|after| after.epoch() == value.revision.epoch());
        match after {
            Some(after) if value.revision <= after => ReadResult::Unchanged(value.revision),
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

    /// The values of `stream`, to change the view of readers.
    pub(super) fn values_mut(&mut self, stream: Stream) -> &mut StreamValues {
        match stream {
            Stream::Catalogue => &mut self.catalogue,
            Stream::Instances => &mut self.instances,
        }
    }

    /// Publishes a catalogue without validating its text.
    pub(super) fn publish_catalogue(
        &mut self,
        text: Bytes,
        forced: Option<Revision>,
        now: Instant,
    ) -> Result<Revision, Refusal> {
        let forced = self.in_epoch(forced)?;
        self.catalogue.publish(text, forced, now, Duration::ZERO)
    }

    /// Publishes an instance list, visible after the lag.
    pub(super) fn publish_instances(
        &mut self,
        list: Vec<Instance>,
        forced: Option<Revision>,
        now: Instant,
    ) -> Result<Revision, Refusal> {
        let body = ListBody::encode(&list)?;
        let forced = self.in_epoch(forced)?;
        let revision = self.instances.publish(body, forced, now, self.list_lag)?;
        // INVARIANT: The newest value was encoded from this list.
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

    /// Returns to an older copy, in the next epoch. Later values are lost and their
    /// revisions are given out again.
    pub(super) fn restore(&mut self, copy: CopyRevisions) -> Result<(), Refusal> {
        self.epoch = Epoch::new(self.epoch.get() + 1);
        self.catalogue.restore(copy.catalogue, self.epoch)?;
        self.instances.restore(copy.instances, self.epoch)?;
        // INVARIANT: The list is that of the newest value left.
        self.list = match self.instances.newest() {
            Some(value) => ListBody::decode(&value.body)?,
            None => Vec::new(),
        };
        Ok(())
    }

    /// A forced revision in the current epoch.
    fn in_epoch(&self, forced: Option<Revision>) -> Result<Option<Revision>, Refusal> {
        let forced = forced.map(|forced| Revision::in_epoch(self.epoch, forced.get()));
        forced
            .transpose()
            .map_err(|e| Refusal::Malformed(e.to_string()))
    }

    /// Switches stale reads of both streams on or off.
    pub(super) fn set_stale(&mut self, stale: bool, now: Instant) {
        for values in [&mut self.catalogue, &mut self.instances] {
            match stale {
                true => values.freeze(now),
                false => values.unfreeze(),
            }
        }
    }
}
