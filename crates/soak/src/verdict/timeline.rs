//! The times of events from which requests to targets are judged.

use sassafrasspool_bench::chaos::events::NodeStop;
use sassafrasspool_bench::load::LedgerRun;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::history::Event;
use sassafrasspool_core::history::History;
use sassafrasspool_core::history::Record;

use super::Impairment;
use super::PublishedCatalogue;

/// The longest time that a request takes from a node to its target, in microseconds.
pub(super) const MAX_HANDOVER_US: u64 = 1_000_000;

/// The versions that nodes had in force, the requests that their targets started, and the
/// process ends and stalls in between.
#[derive(Debug)]
pub struct Timeline<'a> {
    /// The valid catalogues that were published.
    pub(super) catalogues: &'a [PublishedCatalogue],
    /// The history with the versions that nodes had in force, in the order of time.
    records: Vec<&'a Record>,
    runs: &'a [LedgerRun],
    /// When node processes ended.
    ends: &'a [NodeStop],
    /// When nodes, their targets or the links between them were stalled.
    stalls: &'a [Impairment],
}

impl<'a> Timeline<'a> {
    /// Collects the events of a run, and sorts its history once for all instances.
    pub fn new(
        catalogues: &'a [PublishedCatalogue],
        history: &'a History,
        runs: &'a [LedgerRun],
        ends: &'a [NodeStop],
        stalls: &'a [Impairment],
    ) -> Timeline<'a> {
        Timeline {
            catalogues,
            records: history.in_order(),
            runs,
            ends,
            stalls,
        }
    }

    /// When a node was observed to have which catalogue in force, in the order of time and in
    /// microseconds since the Unix epoch.
    pub(super) fn catalogues_in_force(
        &self,
        id: &InstanceId,
    ) -> impl Iterator<Item = (u64, &'a PublishedCatalogue)> {
        self.records.iter().filter_map(move |record| {
            let Event::InForce { node, held } = &record.event else {
                return None;
            };
            if node != id {
                return None;
            }
            let revision = held.catalogue.revision();
            // A version of a copy was published in an earlier epoch.
            let published = self.catalogues.iter().rev().find(|it| {
                it.revision.get() == revision.get() && it.revision.epoch() <= revision.epoch()
            })?;
            Some((record.at.as_micros(), published))
        })
    }

    /// When the target of an instance started requests, unsorted.
    pub(super) fn starts_us(&self, instance: usize) -> impl Iterator<Item = u64> {
        let matching = self.runs.iter().filter(move |run| run.instance == instance);
        let started = matching.filter(|run| run.run.began());
        started.map(|run| run.run.started_us)
    }

    /// When the node process of an instance next ends, from `at_us` on.
    pub(super) fn next_process_end_us(&self, instance: usize, at_us: u64) -> u64 {
        let matching = self.ends.iter().filter(|it| it.instance == instance);
        let later = matching.map(|it| it.at_us).filter(|it| *it >= at_us);
        later.min().unwrap_or(u64::MAX)
    }

    /// Whether requests that the target of an instance started in that span may have been
    /// delayed on their way to it.
    pub(super) fn may_be_delayed(&self, instance: usize, from_us: u64, to_us: u64) -> bool {
        self.stalls.iter().any(|stall| {
            stall.instance == instance
                && stall.from_us <= to_us
                && from_us <= stall.to_us.saturating_add(MAX_HANDOVER_US)
        })
    }
}
