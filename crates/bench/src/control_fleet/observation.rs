//! Observations of the watcher.

use std::sync::Arc;

use sassafrasspool_core::Snapshot;
use sassafrasspool_core::Stream;
use sassafrasspool_core::Tick;
use sassafrasspool_core::Version;
use sassafrasspool_core::history::SnapshotFacts;

/// The observation that a member put a snapshot in force.
#[derive(Debug, Clone)]
pub struct Observation {
    /// When it was observed.
    pub at: Tick,
    /// The member's index.
    pub member: usize,
    /// The catalogue's version.
    pub catalogue: Version,
    /// The instance list's version.
    pub instances: Version,
    /// The facts of the snapshot, if the watcher records them.
    pub facts: Option<Arc<SnapshotFacts>>,
}

impl Observation {
    pub(super) fn new(
        at: Tick,
        member: usize,
        snapshot: &Snapshot,
        with_facts: bool,
    ) -> Observation {
        let facts = match with_facts {
            true => SnapshotFacts::of(snapshot).ok().map(Arc::new),
            false => None,
        };
        Observation {
            at,
            member,
            catalogue: snapshot.catalogue(),
            instances: snapshot.instances(),
            facts,
        }
    }

    /// The version of one stream.
    pub fn version(&self, stream: Stream) -> Version {
        match stream {
            Stream::Catalogue => self.catalogue,
            Stream::Instances => self.instances,
        }
    }
}
