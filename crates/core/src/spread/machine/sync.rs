//! Regular comparison with one peer (anti-entropy).
//!
//! Announcements reach most nodes at once and miss some: messages are lost, a
//! process is paused, a partition lasts. A comparison of heads with a random
//! peer finds whatever was missed, at the cost of two heads.

use std::time::Duration;

use super::SpreadMachine;
use super::announce::is_gone;
use super::join::JOIN_SYNC_INTERVAL;
use crate::Action;
use crate::CallId;
use crate::Contact;
use crate::Origin;
use crate::PeerMessage;
use crate::PeerReply;
use crate::Reconcile;
use crate::Sync;
use crate::SyncReply;
use crate::Tick;
use crate::reader::ProofOrigin;
use crate::spread::calls::Address;
use crate::spread::calls::PendingCall;
use crate::spread::calls::Purpose;
use crate::spread::join_state::JoinState;

/// Mean interval between comparisons of a node that the list no longer names.
/// It receives no announcements; with this interval it receives a change about
/// as soon as the others.
const UNLISTED_SYNC_INTERVAL: Duration = Duration::from_millis(150);

impl SpreadMachine {
    pub(super) fn sync_if_due(&mut self, now: Tick, out: &mut Vec<Action>) {
        if self.gossip.next_sync > now {
            return;
        }
        self.members.expire_unlisted(now);
        self.expire_reports(now, out);
        if let JoinState::Joining(_) = self.join_state {
            self.send_join_syncs(now, out);
            return;
        }
        let delay = self.sync_delay();
        self.gossip.next_sync = now + delay;
        self.gossip.sync_count += 1;
        if let Some(peer) = self.pick_sync_peer(now) {
            self.send_sync(now, &peer, out);
        }
    }

    /// The delay until the next comparison.
    pub(super) fn sync_delay(&mut self) -> Duration {
        let shorter = match (self.is_unlisted_or_unranked(), self.was_listed) {
            (true, true) => Some(UNLISTED_SYNC_INTERVAL),
            // In a fleet that starts, few nodes are listed yet, and all others
            // compare with these.
            (true, false) => Some(JOIN_SYNC_INTERVAL),
            (false, _) => None,
        };
        let interval = shorter.unwrap_or(self.cfg.interval);
        self.jittered(interval.min(self.cfg.interval))
    }

    pub(super) fn send_sync(&mut self, now: Tick, to: &Address, out: &mut Vec<Action>) {
        let message = PeerMessage::Sync(Sync {
            control: self.local.control,
            heads: self.store.heads(),
            contact: self.contact.current(now),
            states: self.members.root_digest(),
            reports: self.reports.root(),
        });
        self.calls.send(now, to, Purpose::Sync, message, out);
    }

    /// The peer to compare with. Backups, which rank next after the readers,
    /// pick a reader every second time, so that they notice first when no node
    /// reads.
    pub(super) fn pick_sync_peer(&mut self, now: Tick) -> Option<Address> {
        if self.role.is_backup() && self.gossip.sync_count.is_multiple_of(2) {
            let before = self
                .role
                .placement()
                .map(|placement| placement.higher_ranked.as_slice());
            let turn = usize::try_from(self.gossip.sync_count / 2).unwrap_or(0);
            let readers = usize::try_from(self.role.readers_in_domain()).unwrap_or(1);
            let reader = before.and_then(|before| before.get(turn % readers));
            if let Some(address) = reader.and_then(|id| self.peers.find(id)) {
                return Some(address);
            }
        }
        let cross_percent = self.cfg.cross_domain_percent;
        let members = &self.members;
        let is_eligible = |peer: &Address| !is_gone(members, peer);
        self.peers
            .pick_random(now, cross_percent, &mut self.rng, is_eligible)
    }

    pub(super) fn handle_reply(
        &mut self,
        now: Tick,
        call: CallId,
        reply: PeerReply,
        out: &mut Vec<Action>,
    ) {
        let Some(pending) = self.calls.finish(call) else {
            return;
        };
        self.peers.note_answered(&pending.to);
        match (pending.purpose, reply) {
            (
                Purpose::Announce | Purpose::AnnounceToSuccessor | Purpose::Heartbeat,
                PeerReply::Heads(Some(heads)),
            ) => self.merge_heads(now, heads, &pending.to, out),
            (Purpose::Sync, PeerReply::Sync(reply)) => {
                self.list_proof
                    .record_peer_proof(pending.sent_at, reply.list);
                self.handle_sync_reply(now, &pending.to, &reply, out);
                self.merge_proofs(pending.sent_at, &reply.proofs);
                self.schedule_heartbeat(now, ProofOrigin::SameDomain, Some(&reply.from));
            }
            (Purpose::Pull(stream), PeerReply::Body(body)) => {
                self.handle_pull_reply(now, stream, &pending.to, body.as_ref(), out);
            }
            (Purpose::Reconcile, PeerReply::States(states)) => {
                if let Some(id) = pending.to.id {
                    self.merge_states(now, &states, &Origin::Peer(id), out);
                }
            }
            (Purpose::Pull(stream), _) => self.pull_from_next_peer(now, stream, out),
            _ => {}
        }
    }

    fn handle_sync_reply(
        &mut self,
        now: Tick,
        to: &Address,
        reply: &SyncReply,
        out: &mut Vec<Action>,
    ) {
        let peer = Address {
            id: Some(reply.from.clone()),
            control: to.control,
        };
        self.merge_contact(now, reply.contact, out);
        if let JoinState::Joining(joining) = &mut self.join_state {
            joining.note_answer(&reply.from);
        }
        let origin = Origin::Peer(reply.from.clone());
        if let Some(state) = &reply.requester_state {
            self.merge_states(now, std::slice::from_ref(state), &origin, out);
        }
        self.reconcile_reports(now, &peer, reply, out);
        self.merge_heads(now, reply.heads, &peer, out);
        self.gossip.last_sync_reply = Some(now);
        self.catch_up.record_answer(now);
        self.gossip.synced_since_pause = true;
        self.end_quiet_if_up_to_date();
        let differing = match reply.buckets.is_empty() {
            true => 0,
            false => self.members.differing_buckets(&reply.buckets),
        };
        if differing != 0 {
            let states = self
                .members
                .records_in_buckets(differing)
                .cloned()
                .collect();
            let message = PeerMessage::Reconcile(Reconcile {
                buckets: differing,
                states,
            });
            self.calls
                .send(now, &peer, Purpose::Reconcile, message, out);
        }
    }

    pub(super) fn handle_call_failure(
        &mut self,
        now: Tick,
        pending: &PendingCall,
        out: &mut Vec<Action>,
    ) {
        if pending.purpose == Purpose::Heartbeat {
            return self.record_lost_heartbeat(now, &pending.to);
        }
        self.peers.note_failed(now, &pending.to);
        match pending.purpose {
            Purpose::Pull(stream) => self.pull_from_next_peer(now, stream, out),
            Purpose::AnnounceToSuccessor => {
                self.announce_to_successor(now, out);
            }
            Purpose::Announce | Purpose::Sync | Purpose::Heartbeat | Purpose::Reconcile => {}
        }
    }

    pub(super) fn merge_contact(
        &mut self,
        now: Tick,
        proof: Option<Contact>,
        out: &mut Vec<Action>,
    ) {
        self.contact.merge(now, proof);
        if let Some(proof) = proof {
            let age = std::time::Duration::from_millis(u64::from(proof.age_ms));
            if self.role.yield_to(proof.rank, age) {
                self.audit_reading(out);
            }
        }
    }
}
