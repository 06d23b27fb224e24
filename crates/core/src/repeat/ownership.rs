//! Since when this node owns a key, by the instance lists that it has held.

use std::collections::VecDeque;
use std::time::Duration;

use crate::InstanceId;
use crate::RequestKey;
use crate::Revision;
use crate::Tick;
use crate::route::Score;

/// Lists that are remembered at most; older ones only shorten the tenure.
const MAX_LISTS: usize = 64;

/// The live endpoints of the node's service in one list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Members(Vec<(Score, InstanceId)>);

impl Members {
    pub(super) fn new<'a>(ids: impl IntoIterator<Item = &'a InstanceId>) -> Members {
        let scored = |id: &InstanceId| (Score::of(id.as_str()), id.clone());
        Members(ids.into_iter().map(scored).collect())
    }

    /// The owner of a key; the same choice as the first hop makes.
    pub(super) fn owner(&self, key: &RequestKey) -> Option<&InstanceId> {
        let by_score =
            |(score, id): &&(Score, InstanceId)| (score.against(key.score()), id.clone());
        self.0.iter().max_by_key(by_score).map(|(_, id)| id)
    }
}

#[derive(Debug)]
struct HeldList {
    since: Tick,
    members: Members,
}

/// The lists held so far, with the proof that the newest is in force.
///
/// # Invariants
///
/// `lists` is in the order of time, and no list that named another owner of a
/// key was in force between two of its neighbours for long enough that this
/// owner could have run anything.
#[derive(Debug)]
pub(super) struct Ownership {
    me: InstanceId,
    lease: Duration,
    lists: VecDeque<HeldList>,
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

    /// Whether a list this new was held already.
    pub(super) fn has_seen(&self, revision: Revision) -> bool {
        self.revision.is_some_and(|held| held >= revision)
    }

    /// Takes over a newer list.
    pub(super) fn apply_list(&mut self, now: Tick, revision: Revision, members: Members) {
        if self.has_seen(revision) {
            return;
        }
        // A list that this node never saw may have come and gone while it was
        // cut off, and its owner may have run keys that seem unseen here. Such
        // a list was published after the last proof of any list held here: if
        // that is no older than the lease, it was in force for less than an
        // owner waits before it runs anything. Beyond it nothing is sure.
        if !self.is_recent(self.last_proof, now) {
            self.lists.clear();
        }
        self.revision = Some(revision);
        self.proved_at = None;
        if self
            .lists
            .back()
            .is_some_and(|held| held.members == members)
        {
            return;
        }
        self.lists.push_back(HeldList {
            since: now,
            members,
        });
        if self.lists.len() > MAX_LISTS {
            self.lists.pop_front();
        }
    }

    /// Takes over a proof that `revision` was the newest at `at`.
    pub(super) fn record_proof(&mut self, at: Tick, revision: Revision) {
        // A proof of another list says nothing of the one that is held here.
        if self.revision == Some(revision) {
            self.proved_at = Ord::max(self.proved_at, Some(at));
            self.last_proof = Ord::max(self.last_proof, self.proved_at);
        }
    }

    /// Whether the list held here is proved to be in force.
    pub(super) fn is_lease_valid(&self, now: Tick) -> bool {
        self.is_recent(self.proved_at, now)
    }

    fn is_recent(&self, proof: Option<Tick>, now: Tick) -> bool {
        proof.is_some_and(|at| now.since(at) <= self.lease)
    }

    /// Since when this node has owned a key, if it does.
    pub(super) fn owned_since(&self, key: &RequestKey) -> Option<Tick> {
        let own = |held: &&HeldList| held.members.owner(key) == Some(&self.me);
        let owned = self.lists.iter().rev().take_while(own);
        owned.last().map(|held| held.since)
    }
}
