//! Replies to the messages of peers.

use super::SpreadMachine;
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
use crate::spread::join_state::JoinState;

impl SpreadMachine {
    pub(super) fn answer_message(
        &mut self,
        now: Tick,
        from: &InstanceId,
        message: PeerMessage,
        out: &mut Vec<Action>,
    ) -> PeerReply {
        match message {
            PeerMessage::Announce(announce) => self.answer_announce(now, from, announce, out),
            PeerMessage::Sync(sync) => self.answer_sync(now, from, &sync, out),
            PeerMessage::Pull(pull) => PeerReply::Body(self.answer_pull(pull)),
            PeerMessage::Reconcile(reconcile) => self.answer_reconcile(now, from, &reconcile, out),
            PeerMessage::Heartbeat(proofs) => self.answer_heartbeat(now, from, &proofs, out),
        }
    }

    fn answer_announce(
        &mut self,
        now: Tick,
        from: &InstanceId,
        announce: Announce,
        out: &mut Vec<Action>,
    ) -> PeerReply {
        self.peers.note_sender(from, announce.control);
        let peer = self.address(from, announce.control);
        self.merge_contact(now, announce.contact, out);
        let origin = Origin::Peer(from.clone());
        self.merge_states(now, &announce.states, &origin, out);
        self.merge_reports(now, &announce.reports, &origin, out);
        if let Some(body) = announce.body {
            self.apply_announced_body(now, &body, from, out);
        }
        self.merge_heads(now, announce.heads, &peer, out);
        let own_heads = self.store.heads();
        PeerReply::Heads(is_ahead(own_heads, announce.heads).then_some(own_heads))
    }

    fn answer_sync(
        &mut self,
        now: Tick,
        from: &InstanceId,
        sync: &Sync,
        out: &mut Vec<Action>,
    ) -> PeerReply {
        self.peers.note_sender(from, sync.control);
        let peer = self.address(from, sync.control);
        self.merge_contact(now, sync.contact, out);
        self.merge_heads(now, sync.heads, &peer, out);
        let buckets = match self.members.root_digest() == sync.states {
            true => Vec::new(),
            false => self.members.bucket_digests(),
        };
        PeerReply::Sync(Box::new(SyncReply {
            from: self.local.id.clone(),
            joined: matches!(self.join_state, JoinState::Joined(_)),
            heads: self.store.heads(),
            contact: self.contact.current(now),
            list: self.list_proof.current(now),
            buckets,
            requester_state: self.members.get(from).cloned(),
            reports_root: self.reports.root(),
            reports: match self.reports.root() == sync.reports {
                true => Vec::new(),
                false => self.reports.reports_to_send(now),
            },
            proofs: self.current_proofs(now),
        }))
    }

    /// The newest body, whichever version the peer asked for: a burst of
    /// versions is pulled once.
    fn answer_pull(&mut self, pull: Pull) -> Option<crate::Body> {
        let held = self.store.heads().of(pull.stream)?;
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
        reconcile: &Reconcile,
        out: &mut Vec<Action>,
    ) -> PeerReply {
        let own_states = self.members.records_in_buckets(reconcile.buckets);
        let is_lacking = |state: &crate::EndpointState| {
            let found = reconcile
                .states
                .iter()
                .find(|it| it.instance == state.instance);
            found.is_none_or(|found| state.is_newer_than(found))
        };
        let lacking = own_states
            .filter(|state| is_lacking(state))
            .cloned()
            .collect();
        let origin = Origin::Peer(from.clone());
        self.merge_states(now, &reconcile.states, &origin, out);
        PeerReply::States(lacking)
    }
}

/// Whether `own` contains a newer version than `theirs`.
fn is_ahead(own: Heads, theirs: Heads) -> bool {
    let ahead = |stream: &Stream| match (own.of(*stream), theirs.of(*stream)) {
        (Some(own), Some(theirs)) => own.revision() > theirs.revision(),
        (Some(_), None) => true,
        (None, _) => false,
    };
    Stream::ALL.iter().any(ahead)
}
