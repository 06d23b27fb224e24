//! The peers that a node may talk to.

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

/// A peer that failed isn't picked for this long.
const AVOIDED: Duration = Duration::from_secs(5);

/// Peers that are remembered as failed.
const MAX_FAILED: usize = 256;

/// Nodes that are known by their messages, before there is a list.
const MAX_STRANGERS: usize = 16;

/// Peers that are tried as the successor.
const MAX_SUCCESSORS: usize = 16;

/// Draws until a fitting peer is found.
const MAX_DRAWS: u32 = 8;

/// The peers of the instance list, in two groups to draw from.
///
/// It is rebuilt only when the list changes, so that drawing a peer costs the
/// same at every fleet size.
#[derive(Debug, Default)]
pub(super) struct Peers {
    /// Peers of the own failure domain, in the order of their names, from this
    /// node's place on: the first is its successor.
    near: Vec<Address>,
    far: Vec<Address>,
    strangers: Vec<Address>,
    failed: HashMap<InstanceId, Tick>,
    by_id: HashMap<InstanceId, SocketAddr>,
}

impl Peers {
    /// Takes over a new list, and returns the peers that it doesn't name any
    /// more, those of the own failure domain first, in the order of names from
    /// this node's place on.
    pub(super) fn rebuild(
        &mut self,
        list: &InstanceList,
        id: &InstanceId,
        domain: &DomainName,
    ) -> Vec<Address> {
        let mut before = std::mem::take(&mut self.near);
        before.append(&mut self.far);
        self.by_id.clear();
        self.strangers.clear();
        let others = list.iter().filter(|instance| instance.id != *id);
        for instance in others.filter(|instance| instance.has_node()) {
            let address = Address {
                id: Some(instance.id.clone()),
                control: instance.control,
            };
            self.by_id.insert(instance.id.clone(), instance.control);
            if instance.domain == *domain {
                self.near.push(address);
            } else {
                self.far.push(address);
            }
        }
        let precedes = |peer: &Address| peer.id.as_ref() < Some(id);
        let first = self.near.partition_point(precedes);
        self.near.rotate_left(first);
        let is_listed = |peer: &Address| {
            let id = peer.id.as_ref();
            id.is_some_and(|id| self.by_id.contains_key(id))
        };
        before.retain(|peer| !is_listed(peer));
        before
    }

    /// The next peer of the own failure domain in the order of names, whether
    /// it answers or not.
    pub(super) fn next(&self) -> Option<&Address> {
        self.near.first()
    }

    /// The next peer of the own failure domain in the order of names, wrapping
    /// around, that answered when it was last called.
    ///
    /// Were all peers drawn at random, each announcement would miss a few
    /// nodes. If each also tells its successor, none is left out for as long
    /// as messages arrive.
    pub(super) fn successor(&self, now: Tick, fits: impl Fn(&Address) -> bool) -> Option<Address> {
        let near = self.near.iter().take(MAX_SUCCESSORS);
        let mut fitting = near.filter(|peer| fits(peer) && !self.is_avoided(now, peer));
        fitting.next().cloned()
    }

    /// How many peers there are.
    pub(super) fn len(&self) -> usize {
        self.near.len() + self.far.len()
    }

    /// Remembers the sender of a message while there is no list.
    pub(super) fn meet(&mut self, id: &InstanceId, control: SocketAddr) {
        let known = self.strangers.iter().any(|known| known.control == control);
        if self.len() > 0 || known || self.strangers.len() == MAX_STRANGERS {
            return;
        }
        self.strangers.push(Address {
            id: Some(id.clone()),
            control,
        });
    }

    /// Nodes known by their messages only.
    pub(super) fn strangers(&self) -> &[Address] {
        &self.strangers
    }

    /// A listed peer by name.
    pub(super) fn find(&self, id: &InstanceId) -> Option<Address> {
        let control = *self.by_id.get(id)?;
        Some(Address {
            id: Some(id.clone()),
            control,
        })
    }

    /// Remembers that a peer didn't answer.
    pub(super) fn note_failed(&mut self, now: Tick, to: &Address) {
        let Some(id) = &to.id else {
            return;
        };
        if self.failed.len() >= MAX_FAILED {
            self.failed.retain(|_, until| *until > now);
        }
        if self.failed.len() < MAX_FAILED {
            self.failed.insert(id.clone(), now + AVOIDED);
        }
    }

    /// Remembers that a peer answered.
    pub(super) fn note_answered(&mut self, to: &Address) {
        if let Some(id) = &to.id {
            self.failed.remove(id);
        }
    }

    /// Draws a peer, of another failure domain with the given probability.
    pub(super) fn draw(
        &self,
        now: Tick,
        cross_percent: u32,
        rng: &mut SmallRng,
        fits: impl Fn(&Address) -> bool,
    ) -> Option<Address> {
        for _ in 0..MAX_DRAWS {
            let cross = rng.random_range(0..100) < cross_percent;
            let group = match (self.near.is_empty(), self.far.is_empty()) {
                (true, true) => return None,
                (true, false) => &self.far,
                (false, true) => &self.near,
                (false, false) if cross => &self.far,
                (false, false) => &self.near,
            };
            let drawn = &group[rng.random_range(0..group.len())];
            if fits(drawn) && !self.is_avoided(now, drawn) {
                return Some(drawn.clone());
            }
        }
        None
    }

    fn is_avoided(&self, now: Tick, peer: &Address) -> bool {
        let id = peer.id.as_ref();
        let until = id.and_then(|id| self.failed.get(id));
        until.is_some_and(|until| *until > now)
    }
}
