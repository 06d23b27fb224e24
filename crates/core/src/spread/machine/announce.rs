//! Announcements of changes.

use super::SpreadMachine;
use crate::Action;
use crate::Announce;
use crate::Body;
use crate::PeerMessage;
use crate::Phase;
use crate::Stream;
use crate::Tick;
use crate::membership::MembershipTable;
use crate::spread::calls::Address;
use crate::spread::calls::Purpose;

/// Maximum number of endpoint states in one announcement.
pub(super) const MAX_ANNOUNCED_STATES: usize = 64;

impl SpreadMachine {
    pub(super) fn announce_if_due(&mut self, now: Tick, out: &mut Vec<Action>) {
        if self.gossip.announce_due().is_none_or(|due| due > now) {
            return;
        }
        if self.peers.len() == 0 && self.peers.unlisted_senders().is_empty() {
            // No peer is known yet: pending states stay queued until one is.
            self.gossip.heads_due = None;
            self.gossip.states_due = None;
            return;
        }
        let message = self.announcement(now);
        self.gossip.last_announcement = Some(message.clone());
        let next = self.announce_to_successor(now, out);
        for to in self.pick_announce_peers(now, next) {
            let message = PeerMessage::Announce(message.clone());
            self.calls.send(now, &to, Purpose::Announce, message, out);
        }
        self.announce_to_unlisted(now, message, out);
        self.gossip.heads_due = None;
        self.gossip.news_sender = None;
        self.gossip.states_due = match self.gossip.has_pending_states() {
            true => Some(now + self.cfg.state_linger),
            false => None,
        };
    }

    fn announcement(&mut self, now: Tick) -> Announce {
        let body = match self.gossip.heads_due {
            Some(_) => self.eager_body(),
            None => None,
        };
        let heads = self.store.heads();
        self.gossip.announced_heads = heads;
        let reports = self.gossip.take_reports();
        let reports = reports
            .iter()
            .filter_map(|id| self.reports.report_at(now, id));
        Announce {
            reports: reports.collect(),
            control: self.local.control,
            heads,
            contact: self.contact.current(now),
            body,
            states: self.gossip.take_states(MAX_ANNOUNCED_STATES),
        }
    }

    /// The change since the last announcement, if it is small.
    fn eager_body(&mut self) -> Option<Body> {
        let heads = self.store.heads();
        let before = self.gossip.announced_heads;
        let changed = Stream::ALL
            .into_iter()
            .find(|stream| heads.of(*stream) != before.of(*stream))?;
        before.of(changed)?;
        let body = self.body_since(changed, before.of(changed))?;
        let is_small_delta = body.base.is_some() && body.bytes.len() <= self.cfg.eager_bytes;
        is_small_delta.then_some(body)
    }

    /// Sends the last announcement to the successor, and returns the successor.
    pub(super) fn announce_to_successor(
        &mut self,
        now: Tick,
        out: &mut Vec<Action>,
    ) -> Option<Address> {
        let message = self.gossip.last_announcement.clone()?;
        let members = &self.members;
        let next = self.peers.successor(now, |peer| !is_gone(members, peer))?;
        if next.id == self.gossip.news_sender {
            return Some(next);
        }
        let message = PeerMessage::Announce(message);
        self.calls
            .send(now, &next, Purpose::AnnounceToSuccessor, message, out);
        Some(next)
    }

    /// Announces to nodes that the list no longer names.
    ///
    /// No other node has them as peers from now on. With regular comparisons
    /// alone, they would send requests to a target that vanished without notice
    /// until the next comparison. Once the announced list shows them
    /// that they aren't listed, they read the platform themselves.
    fn announce_to_unlisted(&mut self, now: Tick, message: Announce, out: &mut Vec<Action>) {
        for to in std::mem::take(&mut self.gossip.unlisted) {
            let message = PeerMessage::Announce(message.clone());
            self.calls.send(now, &to, Purpose::Announce, message, out);
        }
    }

    /// Random peers besides the successor to which a change is announced.
    fn pick_announce_peers(&mut self, now: Tick, next: Option<Address>) -> Vec<Address> {
        let fanout = usize::try_from(self.cfg.fanout).unwrap_or(usize::MAX);
        if self.peers.len() == 0 {
            let unlisted_senders = self.peers.unlisted_senders().iter().take(fanout);
            return unlisted_senders.cloned().collect();
        }
        let count = fanout - usize::from(next.is_some());
        let mut picked: Vec<Address> = Vec::with_capacity(count);
        let cross_percent = self.cfg.cross_domain_percent;
        for _ in 0..2 * count {
            if picked.len() == count {
                break;
            }
            let (gossip, members) = (&self.gossip, &self.members);
            let is_eligible = |peer: &Address| {
                let is_chosen = picked.contains(peer) || next.as_ref() == Some(peer);
                !is_chosen && peer.id != gossip.news_sender && !is_gone(members, peer)
            };
            let peer = self
                .peers
                .pick_random(now, cross_percent, &mut self.rng, is_eligible);
            picked.extend(peer);
        }
        picked
    }
}

/// Whether a peer announced that it has ended.
pub(super) fn is_gone(members: &MembershipTable, peer: &Address) -> bool {
    let state = peer.id.as_ref().and_then(|id| members.get(id));
    state.is_some_and(|state| state.phase == Phase::Gone)
}
