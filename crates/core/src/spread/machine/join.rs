//! Joining, and the consequences of an accepted version.

use std::time::Duration;

use super::SpreadMachine;
use crate::Action;
use crate::AuditEvent;
use crate::Catalogue;
use crate::CatalogueItem;
use crate::DomainName;
use crate::InstanceList;
use crate::Origin;
use crate::Stream;
use crate::Tick;
use crate::spread::calls::Address;
use crate::spread::join_state::JoinState;
use crate::spread::join_state::Progress;

/// Mean time between two rounds of comparisons while joining.
pub(super) const JOIN_SYNC_INTERVAL: Duration = Duration::from_millis(500);

impl SpreadMachine {
    /// Starts comparisons with some peers: listed ones if there is a list, else
    /// the seeds and the senders of messages.
    pub(super) fn send_join_syncs(&mut self, now: Tick, out: &mut Vec<Action>) {
        let delay = self.jittered(JOIN_SYNC_INTERVAL);
        self.gossip.next_sync = now + delay;
        self.gossip.sync_count += 1;
        for peer in self.pick_join_peers(now) {
            self.send_sync(now, &peer, out);
        }
    }

    fn pick_join_peers(&mut self, now: Tick) -> Vec<Address> {
        let count = usize::try_from(self.cfg.join_peers).unwrap_or(usize::MAX);
        if self.peers.len() == 0 {
            let seeds = self.local.seeds.iter().map(|seed| Address {
                id: None,
                control: *seed,
            });
            let unlisted_senders = self.peers.unlisted_senders().iter().cloned();
            return unlisted_senders.chain(seeds).take(count.max(1)).collect();
        }
        let mut picked: Vec<Address> = Vec::with_capacity(count);
        for n in 0..count {
            // The own failure domain and the others in turn: each may have
            // versions that a partition kept from the other.
            let cross_percent = if n % 2 == 0 { 0 } else { 100 };
            let join_state = &self.join_state;
            let is_eligible =
                |peer: &Address| !picked.contains(peer) && !has_answered_join(join_state, peer);
            let peer = self
                .peers
                .pick_random(now, cross_percent, &mut self.rng, is_eligible);
            picked.extend(peer);
        }
        picked
    }

    /// Ends joining once all comparisons are done or the wait is over.
    pub(super) fn join_if_due(&mut self, now: Tick, out: &mut Vec<Action>) {
        let progress = self.join_progress(now);
        let JoinState::Joining(joining) = &mut self.join_state else {
            return;
        };
        let Some(joined) = joining.finish(now, progress) else {
            return;
        };
        out.push(Action::Audit(AuditEvent::Joined {
            peers: joined.peers,
            source: self.source_answered_all_streams(),
            took: joined.took,
        }));
        joined.apply(&self.store, Stream::Catalogue, &self.catalogue_origin, out);
        out.push(Action::Joined);
        self.join_state = JoinState::Joined(joined);
        let delay = self.sync_delay();
        self.gossip.next_sync = now + delay;
    }

    fn join_progress(&self, now: Tick) -> Progress {
        let count = usize::try_from(self.cfg.join_peers).unwrap_or(usize::MAX);
        Progress {
            has_snapshot: self.store.snapshot().is_some(),
            holds_newest: Stream::ALL
                .into_iter()
                .all(|stream| self.holds_newest_advertised(stream)),
            peers_needed: count.min(self.peers.len()),
            has_contact: self.source_answered_all_streams() || self.has_recent_contact(now),
            max_wait: self.cfg.join_bound,
        }
    }

    /// When joining ends at the latest, once a snapshot is held.
    pub(super) fn join_deadline(&self) -> Option<Tick> {
        match &self.join_state {
            JoinState::Joining(joining) => joining.deadline(self.cfg.join_bound),
            JoinState::Joined(_) => None,
        }
    }

    /// Lets a process that was paused announce again once it holds the newest
    /// advertised version.
    ///
    /// Messages from its buffers bring it only part of the way: it would
    /// announce a version from the time of its pause, although a peer has just
    /// advertised a newer one.
    pub(super) fn end_quiet_if_up_to_date(&mut self) {
        if Stream::ALL
            .into_iter()
            .all(|stream| self.holds_newest_advertised(stream))
        {
            self.gossip.quiet_until = None;
        }
    }

    fn holds_newest_advertised(&self, stream: Stream) -> bool {
        let advertised = self.pulls[stream as usize].newest_advertised;
        advertised.is_none_or(|advertised| !self.store.lacks(stream, advertised))
    }

    fn source_answered_all_streams(&self) -> bool {
        self.reads.iter().all(|reads| reads.has_answered())
    }

    /// Records that a newer catalogue is held.
    pub(super) fn catalogue_accepted(
        &mut self,
        now: Tick,
        before: Option<&Catalogue>,
        origin: &Origin,
        out: &mut Vec<Action>,
    ) {
        if let Some(held) = self.store.catalogue() {
            self.catalogue_history.advance(before, held);
            self.audit_evacuations(before, held, origin, out);
        }
        self.version_accepted(now, Stream::Catalogue, origin, out);
    }

    fn audit_evacuations(
        &self,
        before: Option<&Catalogue>,
        held: &Catalogue,
        origin: &Origin,
        out: &mut Vec<Action>,
    ) {
        for domain in evacuated_domains(held) {
            if !before.is_some_and(|before| evacuated_domains(before).any(|it| it == domain)) {
                let list = self.store.instances();
                let listed = list.into_iter().flat_map(|list| list.iter());
                let there = listed.filter(|instance| instance.domain == *domain);
                out.push(Action::Audit(AuditEvent::Evacuated {
                    domain: domain.clone(),
                    instances: u32::try_from(there.count()).unwrap_or(u32::MAX),
                    origin: origin.clone(),
                }));
            }
        }
        for domain in before.into_iter().flat_map(evacuated_domains) {
            if !evacuated_domains(held).any(|it| it == domain) {
                out.push(Action::Audit(AuditEvent::EvacuationEnded {
                    domain: domain.clone(),
                    origin: origin.clone(),
                }));
            }
        }
    }

    /// Records that a newer instance list is held.
    pub(super) fn instances_accepted(
        &mut self,
        now: Tick,
        before: Option<&InstanceList>,
        origin: &Origin,
        out: &mut Vec<Action>,
    ) {
        let Some(held) = self.store.instances().cloned() else {
            return;
        };
        self.list_history.advance(before, &held);
        let next_by_id = self.peers.next_by_id().cloned();
        let mut unlisted = self
            .peers
            .rebuild(&held, &self.local.id, &self.local.domain);
        // A node that read the list announces to all removed nodes, and the
        // predecessor of a removed node in id order announces to that node:
        // either may fail.
        unlisted.retain(|peer| *origin == Origin::Source || next_by_id.as_ref() == Some(peer));
        self.gossip.unlisted = unlisted;
        self.members.apply_list(now, &held);
        self.members.merge(now, &self.own_state, Some(&held));
        self.update_place(now, out);
        if self.is_unlisted_or_unranked() {
            let soon = now + self.sync_delay();
            self.gossip.next_sync = self.gossip.next_sync.min(soon);
        }
        self.version_accepted(now, Stream::Instances, origin, out);
        if before.is_none() {
            // Peers are known now: compare with one, and announce this
            // endpoint.
            self.gossip.next_sync = now;
            let due = now + self.cfg.state_linger;
            self.gossip.queue_state(self.own_state.clone(), due);
        }
    }

    fn version_accepted(
        &mut self,
        now: Tick,
        stream: Stream,
        origin: &Origin,
        out: &mut Vec<Action>,
    ) {
        if let Some(version) = self.store.heads().of(stream) {
            self.pulls[stream as usize].note_held(version);
        }
        if let Origin::Peer(id) = origin {
            self.gossip.news_sender = Some(id.clone());
        }
        if stream == Stream::Catalogue {
            self.catalogue_origin = origin.clone();
        }
        if self.gossip.synced_since_pause {
            self.end_quiet_if_up_to_date();
        }
        self.gossip.schedule_heads(now + self.cfg.linger);
        if let JoinState::Joined(joined) = &self.join_state {
            joined.apply(&self.store, stream, origin, out);
        }
    }
}

/// Whether a peer has answered a comparison since this node started to join.
fn has_answered_join(join_state: &JoinState, peer: &Address) -> bool {
    match (join_state, &peer.id) {
        (JoinState::Joining(joining), Some(id)) => joining.has_answered(id),
        _ => false,
    }
}

/// The evacuated failure domains.
fn evacuated_domains(catalogue: &Catalogue) -> impl Iterator<Item = &DomainName> {
    catalogue.iter().filter_map(|item| match item {
        CatalogueItem::Evacuation(evacuation) => Some(&evacuation.domain),
        _ => None,
    })
}
