//! A node's life before and after it joined.
//!
//! A restarted node remembers nothing: were it to take requests by the first
//! snapshot that it gets, a stale platform could put it behind what it had in
//! force before. So it compares itself with several peers and the platform,
//! takes the highest of each stream, and only then joins.
//!
//! The wait is bounded. If no peer answers, what the platform gave comes into
//! force, which a stale platform may have put behind: an instance that takes
//! requests by an older configuration for a while is preferred to one that
//! takes none until the partition or outage ends. It still never goes back
//! from what this process had in force, and the first peer that answers
//! brings it forward.

use std::time::Duration;

use super::version_store::VersionStore;
use crate::Action;
use crate::InstanceId;
use crate::Origin;
use crate::Stream;
use crate::Tick;

/// Whether a node has joined.
#[derive(Debug)]
pub(super) enum JoinState {
    Joining(Joining),
    Joined(Joined),
}

/// A node that compares itself with others.
#[derive(Debug)]
pub(super) struct Joining {
    started: Tick,
    /// Since when there has been a snapshot that could be put in force.
    snapshot_since: Option<Tick>,
    answered_peers: Vec<InstanceId>,
}

/// A node whose snapshot is in force; nothing comes into force but through it.
#[derive(Debug)]
pub(super) struct Joined {
    /// Peers that had answered.
    pub(super) peers: u32,
    /// How long joining took.
    pub(super) took: Duration,
}

/// What decides whether joining is over.
#[derive(Debug, Clone, Copy)]
pub(super) struct Progress {
    /// There is a snapshot.
    pub(super) has_snapshot: bool,
    /// Nothing newer than what is held was heard of.
    pub(super) holds_newest: bool,
    /// Peers that have to answer.
    pub(super) peers_needed: usize,
    /// The platform answered this node, or lately another that told so.
    pub(super) has_contact: bool,
    /// How long to wait once there is a snapshot.
    pub(super) max_wait: Duration,
}

impl Joined {
    /// Puts what is held in force.
    pub(super) fn apply(
        &self,
        store: &VersionStore,
        stream: Stream,
        origin: &Origin,
        out: &mut Vec<Action>,
    ) {
        store.apply(stream, origin, out);
    }
}

impl Joining {
    pub(super) fn new(now: Tick) -> Joining {
        Joining {
            started: now,
            snapshot_since: None,
            answered_peers: Vec::new(),
        }
    }

    /// Notes that a peer told what it holds.
    pub(super) fn note_answer(&mut self, from: &InstanceId) {
        if !self.answered_peers.contains(from) {
            self.answered_peers.push(from.clone());
        }
    }

    /// Whether that peer has told.
    pub(super) fn has_answered(&self, peer: &InstanceId) -> bool {
        self.answered_peers.contains(peer)
    }

    /// When the wait ends, once there is a snapshot.
    pub(super) fn deadline(&self, max_wait: Duration) -> Option<Tick> {
        Some(self.snapshot_since? + max_wait)
    }

    /// The joined node, if joining is over.
    pub(super) fn finish(&mut self, now: Tick, progress: Progress) -> Option<Joined> {
        if !progress.has_snapshot {
            return None;
        }
        let since = *self.snapshot_since.get_or_insert(now);
        let compared = progress.holds_newest
            && progress.has_contact
            && self.answered_peers.len() >= progress.peers_needed;
        if !compared && now.since(since) < progress.max_wait {
            return None;
        }
        Some(Joined {
            peers: u32::try_from(self.answered_peers.len()).unwrap_or(u32::MAX),
            took: now.since(self.started),
        })
    }
}
