//! Since when this node owns a key, by the instance lists that it received.

use std::collections::VecDeque;
use std::time::Duration;

use crate::InstanceId;
use crate::RequestKey;
use crate::Revision;
use crate::Tick;
use crate::route::Score;

/// The largest number of lists kept. Without an older one a key only counts as
/// owned for a shorter time.
const MAX_LISTS: usize = 64;

/// The live endpoints of the node's service in one list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Members(Vec<(Score, InstanceId)>);

impl Members {
    pub(super) fn new<'a>(ids: impl IntoIterator<Item = &'a InstanceId>) -> Members {
        let scored = |id: &InstanceId| (Score::of(id.as_str()), id.clone());
        Members(ids.into_iter().map(scored).collect())
    }

    /// The owner of a key. The first hop chooses it in the same way.
    pub(super) fn owner(&self, key: &RequestKey) -> Option<&InstanceId> {
        let by_score =
            |(score, id): &&(Score, InstanceId)| (score.combine(key.score()), id.clone());
        self.0.iter().max_by_key(by_score).map(|(_, id)| id)
    }
}

#[derive(Debug)]
struct ReceivedList {
    since: Tick,
    members: Members,
}

/// The lists received so far, and the proof that the newest is in force.
///
/// # Invariants
///
/// `lists` is ordered by time. Between two neighbours in it, no list that gives
/// a key another owner was in force for long enough that this owner could have
/// run anything.
#[derive(Debug)]
pub(super) struct Ownership {
    me: InstanceId,
    lease: Duration,
    lists: VecDeque<ReceivedList>,
    revision: Option<Revision>,
    proved_at: Option<Tick>,
    last_proof: Option<Tick>,
}

impl Ownership {
    pub(super) fn new(me: InstanceId, lease: Duration) -> Ownership {
        Ownership {
            me,
            lease,
            lists: VecDeque::new(),
            revision: None,
            proved_at: None,
            last_proof: None,
        }
    }

    /// Whether this list or a newer one was already received.
    pub(super) fn has_seen(&self, revision: Revision) -> bool {
        self.revision.is_some_and(|current| current >= revision)
    }

    /// Applies a newer list.
    pub(super) fn apply_list(&mut self, now: Tick, revision: Revision, members: Members) {
        if self.has_seen(revision) {
            return;
        }
        // A list that this node never received may have been in force while it
        // was cut off, and the owner by that list may have run keys that are
        // unseen here. Such a list was published after the last proof of any
        // list of this node. If that proof is no older than the lease, the list
        // was in force for less than the time that an owner waits before it runs
        // anything. If it is older, nothing is proved.
        if !self.is_recent(self.last_proof, now) {
            self.lists.clear();
        }
        self.revision = Some(revision);
        self.proved_at = None;
        if self
            .lists
            .back()
            .is_some_and(|list| list.members == members)
        {
            return;
        }
        self.lists.push_back(ReceivedList {
            since: now,
            members,
        });
        if self.lists.len() > MAX_LISTS {
            self.lists.pop_front();
        }
    }

    /// Records a proof that `revision` was the newest at `at`.
    pub(super) fn record_proof(&mut self, at: Tick, revision: Revision) {
        // A proof of another list proves nothing about the current one.
        if self.revision == Some(revision) {
            self.proved_at = Ord::max(self.proved_at, Some(at));
            self.last_proof = Ord::max(self.last_proof, self.proved_at);
        }
    }

    /// Whether the current list is proved to be in force.
    pub(super) fn is_lease_valid(&self, now: Tick) -> bool {
        self.is_recent(self.proved_at, now)
    }

    fn is_recent(&self, proof: Option<Tick>, now: Tick) -> bool {
        proof.is_some_and(|at| now.since(at) <= self.lease)
    }

    /// Since when this node has owned a key without a break, if it owns it.
    pub(super) fn owned_since(&self, key: &RequestKey) -> Option<Tick> {
        let own = |list: &&ReceivedList| list.members.owner(key) == Some(&self.me);
        let owned = self.lists.iter().rev().take_while(own);
        owned.last().map(|list| list.since)
    }
}
