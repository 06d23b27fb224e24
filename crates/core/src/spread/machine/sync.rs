//! Comparing with one peer now and then.
//!
//! Announcements reach most nodes at once and some not at all: messages are
//! lost, a node sleeps, a partition lasts. Comparing heads with a random peer
//! finds whatever was missed, at the cost of two heads.

use std::time::Duration;

use super::Spread;
use super::announce::is_gone;
use super::join::ASK_AGAIN;
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
use crate::spread::calls::Address;
use crate::spread::calls::Purpose;
use crate::spread::calls::Waiting;
use crate::spread::life::Life;

/// How often a node compares itself that the list no longer names and that nobody
/// tells, so that it knows of a change about as soon as the others.
const UNLISTED_PAUSE: Duration = Duration::from_millis(150);

impl Spread {
    pub(super) fn sync_what_is_due(&mut self, now: Tick, out: &mut Vec<Action>) {
        if self.gossip.next_sync > now {
            return;
        }
        self.members.forget(now);
        self.forget_reports(now, out);
        if let Life::Joining(_) = self.life {
            self.ask_to_join(now, out);
            return;
        }
        let pause = self.sync_pause();
        self.gossip.next_sync = now + pause;
        self.gossip.syncs += 1;
        if let Some(peer) = self.partner(now) {
            self.send_sync(now, &peer, out);
        }
    }

    /// How long until the next comparison.
    pub(super) fn sync_pause(&mut self) -> Duration {
        let often = match (self.is_counted_on_by_nobody(), self.was_listed) {
            (true, true) => Some(UNLISTED_PAUSE),
            // Of a fleet that starts, few are listed yet, and all ask those.
            (true, false) => Some(ASK_AGAIN),
            (false, _) => None,
        };
        let interval = often.unwrap_or(self.cfg.interval);
        self.jittered(interval.min(self.cfg.interval))
    }

    pub(super) fn send_sync(&mut self, now: Tick, to: &Address, out: &mut Vec<Action>) {
        let message = PeerMessage::Sync(Sync {
            control: self.local.control,
            heads: self.holder.heads(),
            contact: self.contact.current(now),
            states: self.members.root(),
            reports: self.reports.root(),
        });
        self.calls.send(now, to, Purpose::Sync, message, out);
    }

    /// The peer to compare with. Those next behind the readers ask a reader
    /// every second time: they are to notice first that none reads any more.
    pub(super) fn partner(&mut self, now: Tick) -> Option<Address> {
        if self.role.is_backup() && self.gossip.syncs.is_multiple_of(2) {
            let before = self.role.place().map(|place| place.before.as_slice());
            let turn = usize::try_from(self.gossip.syncs / 2).unwrap_or(0);
            let readers = usize::try_from(self.role.readers()).unwrap_or(1);
            let reader = before.and_then(|before| before.get(turn % readers));
            if let Some(address) = reader.and_then(|id| self.peers.find(id)) {
                return Some(address);
            }
        }
        let cross = self.cfg.cross_domain_percent;
        let members = &self.members;
        let fits = |peer: &Address| !is_gone(members, peer);
        self.peers.draw(now, cross, &mut self.rng, fits)
    }

    pub(super) fn replied(
        &mut self,
        now: Tick,
        call: CallId,
        reply: PeerReply,
        out: &mut Vec<Action>,
    ) {
        let Some(waiting) = self.calls.finish(call) else {
            return;
        };
        self.peers.note_answered(&waiting.to);
        match (waiting.purpose, reply) {
            (Purpose::Announce | Purpose::AnnounceNext, PeerReply::Heads(Some(heads))) => {
                self.merge_heads(now, heads, &waiting.to, out);
            }
            (Purpose::Sync, PeerReply::Sync(told)) => {
                self.list.merge(waiting.asked, told.list);
                self.synced(now, &waiting.to, &told, out);
            }
            (Purpose::Pull(stream), PeerReply::Body(body)) => {
                self.pulled(now, stream, &waiting.to, body.as_ref(), out);
            }
            (Purpose::Reconcile, PeerReply::States(states)) => {
                if let Some(id) = waiting.to.id {
                    self.merge_states(now, &states, &Origin::Peer(id), out);
                }
            }
            (Purpose::Pull(stream), _) => self.pull_next(now, stream, out),
            _ => {}
        }
    }

    fn synced(&mut self, now: Tick, to: &Address, told: &SyncReply, out: &mut Vec<Action>) {
        let holder = Address {
            id: Some(told.from.clone()),
            control: to.control,
        };
        self.merge_contact(now, told.contact, out);
        if let Life::Joining(joining) = &mut self.life {
            joining.note_answer(&told.from);
        }
        let origin = Origin::Peer(told.from.clone());
        if let Some(state) = &told.about_you {
            self.merge_states(now, std::slice::from_ref(state), &origin, out);
        }
        self.compare_reports(now, &holder, told, out);
        self.merge_heads(now, told.heads, &holder, out);
        self.gossip.answered = Some(now);
        self.gossip.has_heard_since_waking = true;
        self.speak_if_settled();
        let differing = match told.buckets.is_empty() {
            true => 0,
            false => self.members.differing(&told.buckets),
        };
        if differing != 0 {
            let states = self.members.in_buckets(differing).cloned().collect();
            let message = PeerMessage::Reconcile(Reconcile {
                buckets: differing,
                states,
            });
            self.calls
                .send(now, &holder, Purpose::Reconcile, message, out);
        }
    }

    pub(super) fn call_failed(&mut self, now: Tick, waiting: &Waiting, out: &mut Vec<Action>) {
        self.peers.note_failed(now, &waiting.to);
        match waiting.purpose {
            Purpose::Pull(stream) => self.pull_next(now, stream, out),
            Purpose::AnnounceNext => {
                self.announce_to_successor(now, out);
            }
            Purpose::Announce | Purpose::Sync | Purpose::Reconcile => {}
        }
    }

    pub(super) fn merge_contact(
        &mut self,
        now: Tick,
        told: Option<Contact>,
        out: &mut Vec<Action>,
    ) {
        self.contact.merge(now, told);
        if let Some(told) = told {
            let age = std::time::Duration::from_millis(u64::from(told.age_ms));
            if self.role.step_back(told.rank, age) {
                self.audit_reading(out);
            }
        }
    }
}
