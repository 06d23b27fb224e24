//! Checks that targets of evacuated failure domains got no new requests.

use sassafrasspool_core::InstanceId;
use serde::Serialize;

use super::count;
use super::facts::Facts;
use super::facts::HAND_OVER_US;
use super::window::Window;

/// A valid catalogue that was published.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PublishedCatalogue {
    /// Its revision.
    pub revision: u64,
    /// The earliest time at which any node may have it in force, in microseconds since the
    /// Unix epoch.
    pub at_us: u64,
    /// The failure domains that the catalogue evacuates.
    pub evacuated: Vec<&'static str>,
}

/// An instance whose requests are judged.
#[derive(Debug, Clone, Copy)]
pub struct Evacuee<'a> {
    /// The number of the instance.
    pub instance: usize,
    /// The id of the instance.
    pub id: &'a InstanceId,
    /// The failure domain of the instance.
    pub domain: &'a str,
}

/// The verdict on evacuations.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Evacuated {
    /// How often a node was observed to have an evacuation of its own failure domain in force.
    pub evacuations: u64,
    /// Requests that targets started during these evacuations.
    pub begun_while_evacuated: u64,
}

impl Evacuated {
    /// Judges the requests that targets started while their node had an evacuation in force.
    /// Whether nodes have it in force in time is judged with all other catalogue changes.
    pub fn judge<'a>(evacuees: impl Iterator<Item = Evacuee<'a>>, facts: &Facts<'_>) -> Evacuated {
        let mut judged = Evacuated::default();
        for evacuee in evacuees {
            let windows = windows(evacuee, facts);
            judged.evacuations += count(windows.len());
            let begun_in = |window: &Window| {
                let begun = facts.begun(evacuee.instance);
                let late = begun.filter(|at_us| {
                    *at_us > window.from_us + HAND_OVER_US && *at_us < window.to_us
                });
                late.filter(|at_us| !facts.is_held_up(evacuee.instance, *at_us, *at_us))
                    .count()
            };
            judged.begun_while_evacuated += count(windows.iter().map(begun_in).sum());
        }
        judged
    }

    /// Whether no request started during an evacuation.
    pub fn is_kept(&self) -> bool {
        self.begun_while_evacuated == 0
    }
}

/// When a node was observed to have an evacuation of its own failure domain in force. Each
/// window lies within one run of its process.
fn windows(evacuee: Evacuee<'_>, facts: &Facts<'_>) -> Vec<Window> {
    let mut windows: Vec<Window> = Vec::new();
    for (from_us, held) in facts.in_force(evacuee.id) {
        let Some(until_us) = evacuated_until(evacuee.domain, facts.catalogues, held) else {
            continue;
        };
        // The next process of the node has to receive the catalogue first.
        let to_us = until_us.min(facts.next_end_us(evacuee.instance, from_us));
        match windows.last_mut() {
            Some(last) if from_us <= last.to_us => last.to_us = last.to_us.max(to_us),
            _ => windows.push(Window { from_us, to_us }),
        }
    }
    windows
}

/// The time until which no node may have a later catalogue in force that doesn't evacuate
/// the failure domain. `None` if the held catalogue doesn't evacuate it.
fn evacuated_until(
    domain: &str,
    catalogues: &[PublishedCatalogue],
    held: &PublishedCatalogue,
) -> Option<u64> {
    let evacuates = |it: &PublishedCatalogue| it.evacuated.contains(&domain);
    if !evacuates(held) {
        return None;
    }
    let mut later = catalogues.iter().filter(|it| it.revision > held.revision);
    let withdrawn = later.find(|it| !evacuates(it));
    Some(withdrawn.map_or(u64::MAX, |it| it.at_us))
}
