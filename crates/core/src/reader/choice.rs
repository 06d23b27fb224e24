//! Choosing readers without talking about it.
//!
//! Rendezvous hashing over the instance list gives every node the same order
//! of the instances of a failure domain, and a change of the list moves only
//! the ranks that it has to.

use std::collections::BTreeSet;

use crate::Digest;
use crate::DomainName;
use crate::Instance;
use crate::InstanceId;
use crate::InstanceList;
use crate::InstanceState;

#[cfg(test)]
mod tests;

/// A node's place among those that may read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Place {
    /// Its rank in its failure domain, from 0; absent if it isn't live.
    pub(crate) rank: Option<u32>,
    /// Whether the list names it, live or leaving.
    pub(crate) listed: bool,
    /// Instances of its failure domain that rank before it, best first.
    pub(crate) before: Vec<InstanceId>,
    /// Failure domains in the list, at least 1.
    pub(crate) domains: u32,
    /// Instances in the list that have a node.
    pub(crate) fleet: u32,
}

/// How many of those that rank first are remembered by name.
const MAX_BEFORE: usize = 8;

impl Place {
    /// The place of `id` in a list.
    pub(crate) fn find(list: &InstanceList, id: &InstanceId, domain: &DomainName) -> Place {
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
        Place {
            listed: list.get(id).is_some(),
            rank: position.map(|n| u32::try_from(n).unwrap_or(u32::MAX)),
            before: before.collect(),
            domains: u32::try_from(domains.len().max(1)).unwrap_or(u32::MAX),
            fleet: u32::try_from(nodes).unwrap_or(u32::MAX),
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
