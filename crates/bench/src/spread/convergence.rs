//! From what was seen to convergence times.

use std::collections::HashMap;
use std::time::Duration;

use sassafrasspool_core::Revision;
use sassafrasspool_core::Stream;
use sassafrasspool_core::Tick;

use crate::control_fleet::Seen;
use crate::summary::Samples;

/// A published revision and when it was accepted.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Published {
    /// Just before the platform took it.
    pub(crate) at: Tick,
    /// The catalogue's revision.
    pub(crate) revision: Revision,
}

/// Times until published revisions were in force.
#[derive(Debug, Default)]
pub(crate) struct Convergence {
    /// One sample for each node and change.
    pub(crate) nodes: Samples,
    /// One sample for each change: its last node.
    pub(crate) everywhere: Samples,
}

impl Convergence {
    /// Works out the times; a revision that a newer one overtook on a node
    /// counts from when the newer one was in force there.
    pub(crate) fn of(published: &[Published], seen: &[Seen]) -> Convergence {
        let mut by_member: HashMap<usize, Vec<&Seen>> = HashMap::new();
        for seen in seen {
            by_member.entry(seen.member).or_default().push(seen);
        }
        let mut convergence = Convergence::default();
        for published in published {
            let took = by_member.values().filter_map(|seen| took(*published, seen));
            let took: Vec<Duration> = took.collect();
            for &sample in &took {
                convergence.nodes.add(sample);
            }
            if let Some(&last) = took.iter().max() {
                convergence.everywhere.add(last);
            }
        }
        convergence
    }
}

fn took(published: Published, seen: &[&Seen]) -> Option<Duration> {
    let first = seen
        .iter()
        .find(|seen| seen.catalogue.revision() >= published.revision)?;
    Some(first.at.since(published.at))
}

/// How often a member put a version in force that isn't newer than the one
/// before, in either stream.
pub(crate) fn steps_back(seen: &[Seen]) -> usize {
    let mut last: HashMap<(usize, Stream), Revision> = HashMap::new();
    let mut steps = 0;
    for seen in seen {
        for stream in Stream::ALL {
            let revision = seen.version(stream).revision();
            let before = last.insert((seen.member, stream), revision);
            if before.is_some_and(|before| before > revision) {
                steps += 1;
            }
        }
    }
    steps
}
