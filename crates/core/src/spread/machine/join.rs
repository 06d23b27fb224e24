//! Joining, and what follows when a version is taken.

use std::time::Duration;

use super::Spread;
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
use crate::spread::life::Life;
use crate::spread::life::Progress;

/// Time between two rounds of asking while joining.
pub(super) const ASK_AGAIN: Duration = Duration::from_millis(500);

impl Spread {
    /// Asks some peers what they hold: of the list if there is one, else the
    /// seeds and whoever called.
    pub(super) fn ask_to_join(&mut self, now: Tick, out: &mut Vec<Action>) {
        let pause = self.jittered(ASK_AGAIN);
        self.gossip.next_sync = now + pause;
        self.gossip.syncs += 1;
        for peer in self.join_partners(now) {
            self.send_sync(now, &peer, out);
        }
    }

    fn join_partners(&mut self, now: Tick) -> Vec<Address> {
        let wanted = usize::try_from(self.cfg.join_peers).unwrap_or(usize::MAX);
        if self.peers.len() == 0 {
            let seeds = self.local.seeds.iter().map(|seed| Address {
                id: None,
                control: *seed,
            });
            let strangers = self.peers.strangers().iter().cloned();
            return strangers.chain(seeds).take(wanted.max(1)).collect();
        }
        let mut drawn: Vec<Address> = Vec::with_capacity(wanted);
        for n in 0..wanted {
            // Its own failure domain and the others in turn: each may know
            // what a partition kept from the other.
            let cross = if n % 2 == 0 { 0 } else { 100 };
            let life = &self.life;
            let fits = |peer: &Address| !drawn.contains(peer) && !has_told(life, peer);
            let peer = self.peers.draw(now, cross, &mut self.rng, fits);
            drawn.extend(peer);
        }
        drawn
    }

    /// Ends joining once everything was compared, or the wait is over.
    pub(super) fn join_if_due(&mut self, now: Tick, out: &mut Vec<Action>) {
        let progress = self.progress(now);
        let Life::Joining(joining) = &mut self.life else {
            return;
        };
        let Some(joined) = joining.finish(now, progress) else {
            return;
        };
        out.push(Action::Audit(AuditEvent::Joined {
            peers: joined.peers,
            source: self.source_answered_all(),
            took: joined.took,
        }));
        joined.apply(&self.holder, Stream::Catalogue, &self.giver, out);
        out.push(Action::Joined);
        self.life = Life::Joined(joined);
        let pause = self.sync_pause();
        self.gossip.next_sync = now + pause;
    }

    fn progress(&self, now: Tick) -> Progress {
        let wanted = usize::try_from(self.cfg.join_peers).unwrap_or(usize::MAX);
        Progress {
            bound: self.holder.snapshot().is_some(),
            settled: Stream::ALL
                .into_iter()
                .all(|stream| self.is_settled(stream)),
            peers_needed: wanted.min(self.peers.len()),
            source: self.source_answered_all() || self.is_current(now),
            wait: self.cfg.join_bound,
        }
    }

    /// When joining ends at the latest, once that is known.
    pub(super) fn join_ends(&self) -> Option<Tick> {
        match &self.life {
            Life::Joining(joining) => joining.ends(self.cfg.join_bound),
            Life::Joined(_) => None,
        }
    }

    /// Lets a woken process announce again once it holds the newest that it has
    /// heard of.
    ///
    /// What lay in its buffers brings it part of the way: it would announce a
    /// version from while it slept, though a peer has just told it of a newer.
    pub(super) fn speak_if_settled(&mut self) {
        if Stream::ALL
            .into_iter()
            .all(|stream| self.is_settled(stream))
        {
            self.gossip.quiet_until = None;
        }
    }

    fn is_settled(&self, stream: Stream) -> bool {
        let heard = self.pulls[stream as usize].heard;
        heard.is_none_or(|heard| !self.holder.lacks(stream, heard))
    }

    fn source_answered_all(&self) -> bool {
        self.reads.iter().all(|reads| reads.answered())
    }

    /// A newer catalogue is held.
    pub(super) fn catalogue_taken(
        &mut self,
        now: Tick,
        before: Option<&Catalogue>,
        origin: &Origin,
        out: &mut Vec<Action>,
    ) {
        if let Some(held) = self.holder.catalogue() {
            self.catalogues.advance(before, held);
            self.audit_evacuations(before, held, origin, out);
        }
        self.taken(now, Stream::Catalogue, origin, out);
    }

    fn audit_evacuations(
        &self,
        before: Option<&Catalogue>,
        held: &Catalogue,
        origin: &Origin,
        out: &mut Vec<Action>,
    ) {
        for domain in evacuated(held) {
            if !before.is_some_and(|before| evacuated(before).any(|it| it == domain)) {
                let list = self.holder.instances();
                let listed = list.into_iter().flat_map(|list| list.iter());
                let there = listed.filter(|instance| instance.domain == *domain);
                out.push(Action::Audit(AuditEvent::Evacuated {
                    domain: domain.clone(),
                    instances: u32::try_from(there.count()).unwrap_or(u32::MAX),
                    origin: origin.clone(),
                }));
            }
        }
        for domain in before.into_iter().flat_map(evacuated) {
            if !evacuated(held).any(|it| it == domain) {
                out.push(Action::Audit(AuditEvent::EvacuationEnded {
                    domain: domain.clone(),
                    origin: origin.clone(),
                }));
            }
        }
    }

    /// A newer instance list is held.
    pub(super) fn instances_taken(
        &mut self,
        now: Tick,
        before: Option<&InstanceList>,
        origin: &Origin,
        out: &mut Vec<Action>,
    ) {
        let Some(held) = self.holder.instances().cloned() else {
            return;
        };
        self.lists.advance(before, &held);
        let next = self.peers.next().cloned();
        let mut unlisted = self
            .peers
            .rebuild(&held, &self.local.id, &self.local.domain);
        // Who read the list tells all of them, whoever came before one in the
        // order of names tells that one: either may fail.
        unlisted.retain(|peer| *origin == Origin::Source || next.as_ref() == Some(peer));
        self.gossip.unlisted = unlisted;
        self.members.relist(now, &held);
        self.members.merge(now, &self.own, Some(&held));
        self.find_place(now, out);
        if self.is_counted_on_by_nobody() {
            let soon = now + self.sync_pause();
            self.gossip.next_sync = self.gossip.next_sync.min(soon);
        }
        self.taken(now, Stream::Instances, origin, out);
        if before.is_none() {
            // Now there is somebody to ask, and to tell of this endpoint.
            self.gossip.next_sync = now;
            let due = now + self.cfg.state_linger;
            self.gossip.add_state(self.own.clone(), due);
        }
    }

    fn taken(&mut self, now: Tick, stream: Stream, origin: &Origin, out: &mut Vec<Action>) {
        if let Some(version) = self.holder.heads().of(stream) {
            self.pulls[stream as usize].note_held(version);
        }
        if let Origin::Peer(id) = origin {
            self.gossip.teller = Some(id.clone());
        }
        if stream == Stream::Catalogue {
            self.giver = origin.clone();
        }
        if self.gossip.has_heard_since_waking {
            self.speak_if_settled();
        }
        self.gossip.heads_changed(now + self.cfg.linger);
        if let Life::Joined(joined) = &self.life {
            joined.apply(&self.holder, stream, origin, out);
        }
    }
}

/// Whether a peer told what it holds since this node started to join.
fn has_told(life: &Life, peer: &Address) -> bool {
    match (life, &peer.id) {
        (Life::Joining(joining), Some(id)) => joining.has_answered(id),
        _ => false,
    }
}

/// The evacuated failure domains.
fn evacuated(catalogue: &Catalogue) -> impl Iterator<Item = &DomainName> {
    catalogue.iter().filter_map(|item| match item {
        CatalogueItem::Evacuation(evacuation) => Some(&evacuation.domain),
        _ => None,
    })
}
