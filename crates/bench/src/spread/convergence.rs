//! Convergence times from observations.

use std::collections::HashMap;
use std::time::Duration;

use sassafrasspool_core::Revision;
use sassafrasspool_core::Stream;
use sassafrasspool_core::Tick;

use crate::control_fleet::Observation;
use crate::summary::Samples;

/// A published revision and the time of its publication.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Publication {
    /// Taken just before it was sent to the platform.
    pub(crate) at: Tick,
    /// The catalogue's revision.
    pub(crate) revision: Revision,
}

/// Times from publication until revisions were in force.
#[derive(Debug, Default)]
pub(crate) struct Convergence {
    /// One sample for each node and change.
    pub(crate) by_node: Samples,
    /// One sample for each change, of the last node.
    pub(crate) by_change: Samples,
}

impl Convergence {
    /// Computes the times. A revision that a node skipped counts as in force
    /// from when a newer one was in force on the node.
    pub(crate) fn of(publications: &[Publication], observations: &[Observation]) -> Convergence {
        let mut by_member: HashMap<usize, Vec<&Observation>> = HashMap::new();
        for observation in observations {
            by_member
                .entry(observation.member)
                .or_default()
                .push(observation);
        }
        let mut convergence = Convergence::default();
        for publication in publications {
            let convergence_times = by_member
                .values()
                .filter_map(|observations| time_until_in_force(*publication, observations));
            let convergence_times: Vec<Duration> = convergence_times.collect();
            for &sample in &convergence_times {
                convergence.by_node.add(sample);
            }
            if let Some(&last) = convergence_times.iter().max() {
                convergence.by_change.add(last);
            }
        }
        convergence
    }
}

fn time_until_in_force(
    publication: Publication,
    observations: &[&Observation],
) -> Option<Duration> {
    let first = observations
        .iter()
        .find(|observation| observation.catalogue.revision() >= publication.revision)?;
    Some(first.at.since(publication.at))
}

/// Number of times that a member put an older version in force than the one
/// before, over both streams.
pub(crate) fn steps_back(observations: &[Observation]) -> usize {
    let mut last: HashMap<(usize, Stream), Revision> = HashMap::new();
    let mut steps = 0;
    for observation in observations {
        for stream in Stream::ALL {
            let revision = observation.version(stream).revision();
            let before = last.insert((observation.member, stream), revision);
            if before.is_some_and(|before| before > revision) {
                steps += 1;
            }
        }
    }
    steps
}
