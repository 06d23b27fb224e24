//! The peers to which a node may send messages.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;

use super::calls::Address;
use crate::DomainName;
use crate::InstanceId;
use crate::InstanceList;
use crate::Tick;

/// How long a peer that failed isn't picked.
const FAILED_PEER_BACKOFF: Duration = Duration::from_secs(5);

/// Maximum number of failed peers that are remembered.
const MAX_FAILED_PEERS: usize = 256;

/// Maximum number of senders that are remembered before the list is known.
const MAX_UNLISTED_SENDERS: usize = 16;

/// Maximum number of peers that are tried as the successor.
const MAX_SUCCESSOR_CANDIDATES: usize = 16;

/// Maximum number of draws until an eligible peer is found.
const MAX_DRAWS: u32 = 8;

/// The peers of the instance list, in two groups from which random peers are
/// picked.
///
/// The groups are rebuilt only when the list changes, so that a pick costs the
/// same at every fleet size.
#[derive(Debug, Default)]
pub(super) struct Peers {
    /// Peers of the own failure domain in id order, starting after this node
    /// and wrapping around: the first is its successor.
    same_domain: Vec<Address>,
    other_domains: Vec<Address>,
    unlisted_senders: Vec<Address>,
    backoff_until: HashMap<InstanceId, Tick>,
    control_by_id: HashMap<InstanceId, SocketAddr>,
}

impl Peers {
    /// Replaces the list. Returns the peers that the new list doesn't name:
    /// first those of the own failure domain, in id order from this node on.
    pub(super) fn rebuild(
        &mut self,
        list: &InstanceList,
        id: &InstanceId,
        domain: &DomainName,
    ) -> Vec<Address> {
        let mut before = std::mem::take(&mut self.same_domain);
        before.append(&mut self.other_domains);
        self.control_by_id.clear();
        self.unlisted_senders.clear();
        let others = list.iter().filter(|instance| instance.id != *id);
        for instance in others.filter(|instance| instance.has_node()) {
            let address = Address {
                id: Some(instance.id.clone()),
                control: instance.control,
            };
            self.control_by_id
                .insert(instance.id.clone(), instance.control);
            if instance.domain == *domain {
                self.same_domain.push(address);
            } else {
                self.other_domains.push(address);
            }
        }
        let precedes = |peer: &Address| peer.id.as_ref() < Some(id);
        let first = self.same_domain.partition_point(precedes);
        self.same_domain.rotate_left(first);
        let is_listed = |peer: &Address| {
            let id = peer.id.as_ref();
            id.is_some_and(|id| self.control_by_id.contains_key(id))
        };
        before.retain(|peer| !is_listed(peer));
        before
    }

    /// The next peer of the own failure domain in id order, whether it answers
    /// or not.
    pub(super) fn next_by_id(&self) -> Option<&Address> {
        self.same_domain.first()
    }

    /// The next eligible peer of the own failure domain in id order, wrapping
    /// around, that answered when it was last called.
    ///
    /// If all peers were picked at random, each announcement would miss a few
    /// nodes. If each node also announces to its successor, no node is left out
    /// as long as messages arrive.
    pub(super) fn successor(
        &self,
        now: Tick,
        is_eligible: impl Fn(&Address) -> bool,
    ) -> Option<Address> {
        let candidates = self.same_domain.iter().take(MAX_SUCCESSOR_CANDIDATES);
        let mut eligible =
            candidates.filter(|peer| is_eligible(peer) && !self.is_in_backoff(now, peer));
        eligible.next().cloned()
    }

    /// Whether a peer is listed and answered when it was last called.
    pub(super) fn is_usable(&self, now: Tick, id: &InstanceId) -> bool {
        let backoff_until = self.backoff_until.get(id);
        self.control_by_id.contains_key(id) && backoff_until.is_none_or(|until| *until <= now)
    }

    /// Whether a listed peer is in the own failure domain.
    pub(super) fn is_in_same_domain(&self, id: &InstanceId) -> bool {
        self.same_domain
            .iter()
            .any(|peer| peer.id.as_ref() == Some(id))
    }

    /// Number of listed peers.
    pub(super) fn len(&self) -> usize {
        self.same_domain.len() + self.other_domains.len()
    }

    /// Remembers the sender of a message until the list is known.
    pub(super) fn note_sender(&mut self, id: &InstanceId, control: SocketAddr) {
        let known = self
            .unlisted_senders
            .iter()
            .any(|known| known.control == control);
        if self.len() > 0 || known || self.unlisted_senders.len() == MAX_UNLISTED_SENDERS {
            return;
        }
        self.unlisted_senders.push(Address {
            id: Some(id.clone()),
            control,
        });
    }

    /// Nodes that are known only as senders of messages.
    pub(super) fn unlisted_senders(&self) -> &[Address] {
        &self.unlisted_senders
    }

    /// The address of a listed peer.
    pub(super) fn find(&self, id: &InstanceId) -> Option<Address> {
        let control = *self.control_by_id.get(id)?;
        Some(Address {
            id: Some(id.clone()),
            control,
        })
    }

    /// Records that a peer failed to answer.
    pub(super) fn note_failed(&mut self, now: Tick, to: &Address) {
        let Some(id) = &to.id else {
            return;
        };
        if self.backoff_until.len() >= MAX_FAILED_PEERS {
            self.backoff_until.retain(|_, until| *until > now);
        }
        if self.backoff_until.len() < MAX_FAILED_PEERS {
            self.backoff_until
                .insert(id.clone(), now + FAILED_PEER_BACKOFF);
        }
    }

    /// Records that a peer answered.
    pub(super) fn note_answered(&mut self, to: &Address) {
        if let Some(id) = &to.id {
            self.backoff_until.remove(id);
        }
    }

    /// Picks a random peer, outside of the own failure domain with the given
    /// probability.
    pub(super) fn pick_random(
        &self,
        now: Tick,
        cross_percent: u32,
        rng: &mut SmallRng,
        is_eligible: impl Fn(&Address) -> bool,
    ) -> Option<Address> {
        for _ in 0..MAX_DRAWS {
            let use_other_domain = rng.random_range(0..100) < cross_percent;
            let group = match (self.same_domain.is_empty(), self.other_domains.is_empty()) {
                (true, true) => return None,
                (true, false) => &self.other_domains,
                (false, true) => &self.same_domain,
                (false, false) if use_other_domain => &self.other_domains,
                (false, false) => &self.same_domain,
            };
            let picked = &group[rng.random_range(0..group.len())];
            if is_eligible(picked) && !self.is_in_backoff(now, picked) {
                return Some(picked.clone());
            }
        }
        None
    }

    fn is_in_backoff(&self, now: Tick, peer: &Address) -> bool {
        let id = peer.id.as_ref();
        let until = id.and_then(|id| self.backoff_until.get(id));
        until.is_some_and(|until| *until > now)
    }
}
