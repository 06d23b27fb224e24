//! Convergence times of versions, measured from when nodes could get them.

use sassafrasspool_core::Revision;
use sassafrasspool_core::Tick;

use crate::control_fleet::Seen;
use crate::spread::Published;
use crate::summary::Samples;

/// Times of publications, and of the returns of nodes and of the source.
#[derive(Debug, Default)]
pub(super) struct Timing {
    published: Vec<Published>,
    source_found: Vec<Tick>,
    found: Vec<Back>,
    restarted: Vec<Back>,
}

#[derive(Debug, Clone, Copy)]
struct Back {
    at: Tick,
    member: usize,
}

impl Timing {
    pub(super) fn published(&mut self, at: Tick, revision: Revision) {
        self.published.push(Published { at, revision });
    }

    pub(super) fn source_found(&mut self, at: Tick) {
        self.source_found.push(at);
    }

    pub(super) fn found(&mut self, at: Tick, member: usize) {
        self.found.push(Back { at, member });
    }

    pub(super) fn restarted(&mut self, at: Tick, member: usize) {
        self.restarted.push(Back { at, member });
    }

    /// Convergence times: one for each node and version, and one for each
    /// restart.
    pub(super) fn samples(&self, seen: &[Seen], members: usize) -> Samples {
        let mut samples = Samples::new();
        for member in 0..members {
            let seen: Vec<&Seen> = seen.iter().filter(|s| s.member == member).collect();
            for published in &self.published {
                let revision = published.revision;
                let first = seen.iter().find(|s| s.catalogue.revision() >= revision);
                if let Some(first) = first {
                    let from = self.could_be_had(published.at, member, first.at);
                    samples.add(first.at.since(from));
                }
            }
            let restarts = self.restarted.iter().filter(|back| back.member == member);
            for back in restarts {
                if let Some(first) = seen.iter().find(|s| s.at >= back.at) {
                    samples.add(first.at.since(back.at));
                }
            }
        }
        samples
    }

    /// When `member` could first get a version: its publication or the last
    /// return of the node or of the source before `until`, whichever is later.
    fn could_be_had(&self, published: Tick, member: usize, until: Tick) -> Tick {
        let own = self.found.iter().filter(|back| back.member == member);
        let ends = own.map(|back| back.at).chain(self.source_found.clone());
        let last = ends.filter(|end| *end <= until).max();
        last.map_or(published, |last| last.max(published))
    }
}
