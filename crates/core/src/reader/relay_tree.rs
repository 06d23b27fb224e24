//! The tree by which proofs of the newest versions reach all nodes.
//!
//! All nodes derive the tree from the instance list. Each failure domain has a tree of its
//! own, with its readers as the roots, so that proofs rarely cross its border.

use std::collections::BTreeMap;

use super::placement;
use crate::DomainName;
use crate::InstanceId;
use crate::InstanceList;

/// Children of each node. Three levels below the roots hold 584 nodes.
const CHILDREN: usize = 8;

/// First ranks of another failure domain that are stored, so that one is left if some fail.
const MAX_HEADS: usize = 4;

/// The most nodes to which a node relays one proof.
const MAX_RECEIVERS: usize = 32;

/// Where a proof comes from, which determines to whom it is relayed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProofOrigin {
    /// A node of the own failure domain.
    SameDomain,
    /// A node of another failure domain.
    OtherDomain,
    /// This node's own read.
    OwnRead,
}

/// A node's place in the tree of its failure domain.
///
/// # Invariants
///
/// `ranked` has the live candidates of the failure domain, each once, and the first `roots`
/// of them are its readers.
#[derive(Debug, Default)]
pub(crate) struct RelayTree {
    ranked: Vec<InstanceId>,
    roots: usize,
    /// This node's place in `ranked`.
    position: Option<usize>,
    /// The first ranks of each other failure domain.
    heads: Vec<Vec<InstanceId>>,
    /// Number of failure domains whose names precede the own one.
    domain_index: usize,
}

impl RelayTree {
    /// Builds the tree of `domain`, in which `roots` nodes read, as seen by `id`.
    pub(crate) fn build(
        list: &InstanceList,
        id: &InstanceId,
        domain: &DomainName,
        roots: u32,
    ) -> RelayTree {
        let mut domains: BTreeMap<&DomainName, Vec<InstanceId>> = BTreeMap::new();
        for instance in list.iter().filter(|it| placement::is_candidate(it)) {
            let members = domains.entry(&instance.domain).or_default();
            members.push(instance.id.clone());
        }
        domains.values_mut().for_each(|it| placement::rank(it));
        let ranked = domains.remove(domain).unwrap_or_default();
        let domain_index = domains.keys().filter(|other| **other < domain).count();
        let heads = domains.into_values().map(|mut members| {
            members.truncate(MAX_HEADS);
            members
        });
        RelayTree {
            heads: heads.collect(),
            position: ranked.iter().position(|other| other == id),
            roots: usize::try_from(roots)
                .unwrap_or(usize::MAX)
                .min(ranked.len()),
            ranked,
            domain_index,
        }
    }

    /// The reader's place among the readers of the whole fleet, if this node is one.
    pub(crate) fn reader_index(&self) -> Option<u32> {
        let position = self.position.filter(|position| *position < self.roots)?;
        u32::try_from(self.domain_index * self.roots + position).ok()
    }

    /// The nodes to which this node relays a proof, without those that it can't reach.
    pub(crate) fn receivers(
        &self,
        origin: ProofOrigin,
        is_reachable: impl Fn(&InstanceId) -> bool,
    ) -> Vec<InstanceId> {
        let mut found = Vec::new();
        let is_root = self.position.is_some_and(|position| position < self.roots);
        if is_root || origin != ProofOrigin::SameDomain {
            self.add_positions(0..self.roots, &is_reachable, &mut found);
        }
        if !is_root && origin != ProofOrigin::SameDomain {
            let first_level = self.roots..self.roots + self.roots * CHILDREN;
            self.add_positions(first_level, &is_reachable, &mut found);
        }
        if let Some(position) = self.position {
            self.add_children(position, &is_reachable, &mut found);
        }
        if origin == ProofOrigin::OwnRead {
            let heads = self.heads.iter();
            let heads = heads.filter_map(|heads| heads.iter().find(|head| is_reachable(head)));
            found.extend(heads.cloned());
        }
        found.truncate(MAX_RECEIVERS);
        found
    }

    fn add_positions(
        &self,
        positions: std::ops::Range<usize>,
        is_reachable: &impl Fn(&InstanceId) -> bool,
        found: &mut Vec<InstanceId>,
    ) {
        for position in positions.filter(|it| Some(*it) != self.position) {
            let id = self.ranked.get(position);
            found.extend(id.filter(|id| is_reachable(id)).cloned());
        }
    }

    /// Adds the children of a node, and the children of those that aren't reachable.
    fn add_children(
        &self,
        position: usize,
        is_reachable: &impl Fn(&InstanceId) -> bool,
        found: &mut Vec<InstanceId>,
    ) {
        let first = self.roots + position * CHILDREN;
        for child in first..first + CHILDREN {
            let Some(id) = self.ranked.get(child) else {
                return;
            };
            if found.contains(id) || found.len() >= MAX_RECEIVERS {
                continue;
            }
            match is_reachable(id) {
                true => found.push(id.clone()),
                false => self.add_children(child, is_reachable, found),
            }
        }
    }
}
