//! Observations of the watcher.

use std::sync::Arc;

use sassafrasspool_core::Snapshot;
use sassafrasspool_core::Stream;
use sassafrasspool_core::Tick;
use sassafrasspool_core::Version;
use sassafrasspool_core::history::SnapshotFacts;

/// The observation that a member put a snapshot in force.
#[derive(Debug, Clone)]
pub struct Seen {
    /// When it was observed.
    pub at: Tick,
    /// The member's index.
    pub member: usize,
    /// The catalogue's version.
    pub catalogue: Version,
    /// The instance list's version.
    pub instances: Version,
    /// The facts of the snapshot, if the watcher records them.
    pub held: Option<Arc<SnapshotFacts>>,
}

impl Seen {
    pub(super) fn of(at: Tick, member: usize, snapshot: &Snapshot, facts: bool) -> Seen {
        let held = match facts {
            true => SnapshotFacts::of(snapshot).ok().map(Arc::new),
            false => None,
        };
        Seen {
            at,
            member,
            catalogue: snapshot.catalogue(),
            instances: snapshot.instances(),
            held,
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
