//! Convergence times of versions, measured from when nodes could get them.

use sassafrasspool_core::Revision;
use sassafrasspool_core::Tick;

use crate::control_fleet::Observation;
use crate::spread::Publication;
use crate::summary::Samples;

/// Times of publications, and of the returns of nodes and of the source.
#[derive(Debug, Default)]
pub(super) struct Timing {
    publications: Vec<Publication>,
    source_returns: Vec<Tick>,
    node_returns: Vec<NodeReturn>,
    restarts: Vec<NodeReturn>,
}

#[derive(Debug, Clone, Copy)]
struct NodeReturn {
    at: Tick,
    member: usize,
}

impl Timing {
    pub(super) fn record_publication(&mut self, at: Tick, revision: Revision) {
        self.publications.push(Publication { at, revision });
    }

    pub(super) fn record_source_back(&mut self, at: Tick) {
        self.source_returns.push(at);
    }

    pub(super) fn record_node_back(&mut self, at: Tick, member: usize) {
        self.node_returns.push(NodeReturn { at, member });
    }

    pub(super) fn record_restart(&mut self, at: Tick, member: usize) {
        self.restarts.push(NodeReturn { at, member });
    }

    /// Convergence times: one for each node and version, and one for each
    /// restart.
    pub(super) fn convergence_samples(
        &self,
        observations: &[Observation],
        members: usize,
    ) -> Samples {
        let mut samples = Samples::new();
        for member in 0..members {
            let observations: Vec<&Observation> = observations
                .iter()
                .filter(|it| it.member == member)
                .collect();
            for publication in &self.publications {
                let revision = publication.revision;
                let first = observations
                    .iter()
                    .find(|it| it.catalogue.revision() >= revision);
                if let Some(first) = first {
                    let from = self.available_from(publication.at, member, first.at);
                    samples.add(first.at.since(from));
                }
            }
            let restarts = self.restarts.iter().filter(|back| back.member == member);
            for back in restarts {
                if let Some(first) = observations.iter().find(|it| it.at >= back.at) {
                    samples.add(first.at.since(back.at));
                }
            }
        }
        samples
    }

    /// When `member` could first get a version: its publication or the last
    /// return of the node or of the source before `until`, whichever is later.
    fn available_from(&self, published: Tick, member: usize, until: Tick) -> Tick {
        let own = self
            .node_returns
            .iter()
            .filter(|back| back.member == member);
        let ends = own.map(|back| back.at).chain(self.source_returns.clone());
        let last = ends.filter(|end| *end <= until).max();
        last.map_or(published, |last| last.max(published))
    }
}
