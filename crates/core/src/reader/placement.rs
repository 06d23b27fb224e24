//! Choice of readers without coordination between nodes.
//!
//! Rendezvous hashing over the instance list gives every node the same order
//! of the instances of a failure domain. A change of the list changes as few
//! ranks as possible.

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
        let mut ranked: Vec<_> = list
            .iter()
            .filter(|instance| is_candidate(instance, domain))
            .map(|instance| (weight(&instance.id), &instance.id))
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        let position = ranked.iter().position(|(_, other)| *other == id);
        let before = ranked.iter().take(position.unwrap_or(ranked.len()));
        let before = before.take(MAX_BEFORE).map(|(_, id)| (*id).clone());
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

fn is_candidate(instance: &Instance, domain: &DomainName) -> bool {
    let live = instance.state == InstanceState::Live;
    instance.has_node() && instance.domain == *domain && live
}

fn weight(id: &InstanceId) -> Digest {
    Digest::of(id.as_str().as_bytes())
}
