//! Answering peers.

use super::Spread;
use crate::Action;
use crate::Announce;
use crate::Heads;
use crate::InstanceId;
use crate::Origin;
use crate::PeerMessage;
use crate::PeerReply;
use crate::Pull;
use crate::Reconcile;
use crate::Stream;
use crate::Sync;
use crate::SyncReply;
use crate::Tick;
use crate::spread::life::Life;

impl Spread {
    pub(super) fn answer_message(
        &mut self,
        now: Tick,
        from: &InstanceId,
        message: PeerMessage,
        out: &mut Vec<Action>,
    ) -> PeerReply {
        match message {
            PeerMessage::Announce(told) => self.answer_announce(now, from, told, out),
            PeerMessage::Sync(told) => self.answer_sync(now, from, &told, out),
            PeerMessage::Pull(pull) => PeerReply::Body(self.answer_pull(pull)),
            PeerMessage::Reconcile(told) => self.answer_reconcile(now, from, &told, out),
        }
    }

    fn answer_announce(
        &mut self,
        now: Tick,
        from: &InstanceId,
        told: Announce,
        out: &mut Vec<Action>,
    ) -> PeerReply {
        self.peers.meet(from, told.control);
        let holder = self.address(from, told.control);
        self.merge_contact(now, told.contact, out);
        let origin = Origin::Peer(from.clone());
        self.merge_states(now, &told.states, &origin, out);
        self.merge_reports(now, &told.reports, &origin, out);
        if let Some(body) = told.body {
            self.open_eagerly(now, &body, from, out);
        }
        self.merge_heads(now, told.heads, &holder, out);
        let mine = self.holder.heads();
        PeerReply::Heads(is_ahead(mine, told.heads).then_some(mine))
    }

    fn answer_sync(
        &mut self,
        now: Tick,
        from: &InstanceId,
        told: &Sync,
        out: &mut Vec<Action>,
    ) -> PeerReply {
        self.peers.meet(from, told.control);
        let holder = self.address(from, told.control);
        self.merge_contact(now, told.contact, out);
        self.merge_heads(now, told.heads, &holder, out);
        let buckets = match self.members.root() == told.states {
            true => Vec::new(),
            false => self.members.digests(),
        };
        PeerReply::Sync(SyncReply {
            from: self.local.id.clone(),
            joined: matches!(self.life, Life::Joined(_)),
            heads: self.holder.heads(),
            contact: self.contact.current(now),
            list: self.list.current(now),
            buckets,
            about_you: self.members.get(from).cloned(),
            reports_root: self.reports.root(),
            reports: match self.reports.root() == told.reports {
                true => Vec::new(),
                false => self.reports.reports_to_send(now),
            },
        })
    }

    /// The newest body, whatever the peer may have heard of: a burst of
    /// versions is fetched once.
    fn answer_pull(&mut self, pull: Pull) -> Option<crate::Body> {
        let held = self.holder.heads().of(pull.stream)?;
        if pull
            .held
            .is_some_and(|its| its.revision() >= held.revision())
        {
            return None;
        }
        self.body_since(pull.stream, pull.held)
    }

    fn answer_reconcile(
        &mut self,
        now: Tick,
        from: &InstanceId,
        told: &Reconcile,
        out: &mut Vec<Action>,
    ) -> PeerReply {
        let mine = self.members.in_buckets(told.buckets);
        let theirs = |state: &crate::EndpointState| {
            let found = told.states.iter().find(|it| it.instance == state.instance);
            found.is_none_or(|found| state.is_newer_than(found))
        };
        let lacking = mine.filter(|state| theirs(state)).cloned().collect();
        let origin = Origin::Peer(from.clone());
        self.merge_states(now, &told.states, &origin, out);
        PeerReply::States(lacking)
    }
}

/// Whether `mine` has something newer than `theirs`.
fn is_ahead(mine: Heads, theirs: Heads) -> bool {
    let ahead = |stream: &Stream| match (mine.of(*stream), theirs.of(*stream)) {
        (Some(mine), Some(theirs)) => mine.revision() > theirs.revision(),
        (Some(_), None) => true,
        (None, _) => false,
    };
    Stream::ALL.iter().any(ahead)
}
