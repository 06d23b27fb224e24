//! Convergence times from observations.

use std::collections::HashMap;
use std::time::Duration;

use sassafrasspool_core::Revision;
use sassafrasspool_core::Stream;
use sassafrasspool_core::Tick;

use crate::control_fleet::Seen;
use crate::summary::Samples;

/// A published revision and the time of its publication.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Published {
    /// Taken just before it was sent to the platform.
    pub(crate) at: Tick,
    /// The catalogue's revision.
    pub(crate) revision: Revision,
}

/// Times from publication until revisions were in force.
#[derive(Debug, Default)]
pub(crate) struct Convergence {
    /// One sample for each node and change.
    pub(crate) nodes: Samples,
    /// One sample for each change, of the last node.
    pub(crate) everywhere: Samples,
}

impl Convergence {
    /// Computes the times. A revision that a node skipped counts as in force
    /// from when a newer one was in force on the node.
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

/// Number of times that a member put an older version in force than the one
/// before, over both streams.
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
