//! Choice of readers without coordination between nodes.
//!
//! Rendezvous hashing over the instance list gives every node the same order
//! of the instances of a failure domain. A change of the list changes as few
//! ranks as possible.

use std::borrow::Borrow;
use std::cmp::Reverse;
use std::collections::BTreeSet;

use crate::Digest;
use crate::DomainName;
use crate::Instance;
use crate::InstanceId;
use crate::InstanceList;
use crate::InstanceState;

#[cfg(test)]
mod tests;

/// A node's rank among the candidates for reading the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Placement {
    /// Its rank in its failure domain, from 0; `None` if it is not a live candidate.
    pub(crate) rank: Option<u32>,
    /// Whether it is listed, as live or leaving.
    pub(crate) listed: bool,
    /// Instances of its failure domain that rank before it, lowest rank first;
    /// at most [`MAX_BEFORE`].
    pub(crate) higher_ranked: Vec<InstanceId>,
    /// Number of failure domains in the list, at least 1.
    pub(crate) domain_count: u32,
    /// Number of listed instances that have a node.
    pub(crate) fleet_size: u32,
}

/// Bounds the stored names of instances that rank before the node.
const MAX_BEFORE: usize = 8;

impl Placement {
    /// Computes the placement of `id` in a list.
    pub(crate) fn find(list: &InstanceList, id: &InstanceId, domain: &DomainName) -> Placement {
        let domains: BTreeSet<_> = list.iter().map(|instance| &instance.domain).collect();
        let candidates = list
            .iter()
            .filter(|instance| instance.domain == *domain && is_candidate(instance));
        let mut ranked: Vec<_> = candidates.map(|instance| &instance.id).collect();
        rank(&mut ranked);
        let position = ranked.iter().position(|other| *other == id);
        let before = ranked.iter().take(position.unwrap_or(ranked.len()));
        let before = before.take(MAX_BEFORE).map(|id| (*id).clone());
        let nodes = list.iter().filter(|instance| instance.has_node()).count();
        Placement {
            listed: list.get(id).is_some(),
            rank: position.map(|n| u32::try_from(n).unwrap_or(u32::MAX)),
            higher_ranked: before.collect(),
            domain_count: u32::try_from(domains.len().max(1)).unwrap_or(u32::MAX),
            fleet_size: u32::try_from(nodes).unwrap_or(u32::MAX),
        }
    }
}

/// Whether an instance is a candidate for reading the platform.
pub(super) fn is_candidate(instance: &Instance) -> bool {
    instance.has_node() && instance.state == InstanceState::Live
}

/// Sorts the candidates of a failure domain by rank.
pub(super) fn rank<I: Borrow<InstanceId>>(candidates: &mut [I]) {
    let weight = |id: &I| {
        let id: &InstanceId = id.borrow();
        Reverse((Digest::of(id.as_str().as_bytes()), id.clone()))
    };
    candidates.sort_by_cached_key(weight);
}
