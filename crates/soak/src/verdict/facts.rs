//! What happened beside the targets of a run.

use sassafrasspool_bench::chaos::events::Stopped;
use sassafrasspool_bench::load::LedgerRun;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::history::Event;
use sassafrasspool_core::history::History;
use sassafrasspool_core::history::Record;

use super::Hurt;
use super::PublishedCatalogue;

/// How long a request may be on its way from a node to its target, in microseconds.
pub(super) const HAND_OVER_US: u64 = 1_000_000;

/// What nodes had in force, what their targets began and what came between.
#[derive(Debug)]
pub struct Facts<'a> {
    /// The catalogues that bind.
    pub(super) catalogues: &'a [PublishedCatalogue],
    /// What nodes were seen to have in force, in the order of time.
    records: Vec<&'a Record>,
    runs: &'a [LedgerRun],
    /// When processes of nodes ended.
    ends: &'a [Stopped],
    /// When nodes, their targets or the links between them stood still.
    stalled: &'a [Hurt],
}

impl<'a> Facts<'a> {
    /// The facts of a run, whose records are sorted here, once for all instances.
    pub fn new(
        catalogues: &'a [PublishedCatalogue],
        history: &'a History,
        runs: &'a [LedgerRun],
        ends: &'a [Stopped],
        stalled: &'a [Hurt],
    ) -> Facts<'a> {
        Facts {
            catalogues,
            records: history.in_order(),
            runs,
            ends,
            stalled,
        }
    }

    /// When a node was seen to have which of the catalogues in force, in the order of time.
    pub(super) fn in_force(
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
            let revision = held.catalogue.revision().get();
            let published = self.catalogues.iter().find(|it| it.revision == revision)?;
            Some((record.at.as_micros(), published))
        })
    }

    /// When an instance's target began requests, in no order.
    pub(super) fn begun(&self, instance: usize) -> impl Iterator<Item = u64> {
        let of_it = self.runs.iter().filter(move |run| run.instance == instance);
        let begun = of_it.filter(|run| run.run.began());
        begun.map(|run| run.run.started_us)
    }

    /// When an instance's process next ends, from `at_us` on.
    pub(super) fn next_end_us(&self, instance: usize, at_us: u64) -> u64 {
        let of_it = self.ends.iter().filter(|it| it.instance == instance);
        let later = of_it.map(|it| it.at_us).filter(|it| *it >= at_us);
        later.min().unwrap_or(u64::MAX)
    }

    /// Whether what an instance's target began in that span may have been held up on its way.
    pub(super) fn is_held_up(&self, instance: usize, from_us: u64, to_us: u64) -> bool {
        self.stalled.iter().any(|stall| {
            stall.instance == instance
                && stall.from_us <= to_us
                && from_us <= stall.to_us.saturating_add(HAND_OVER_US)
        })
    }
}
