//! Checks that targets of evacuated failure domains got no new requests.

use sassafrasspool_core::InstanceId;
use sassafrasspool_core::Revision;
use serde::Serialize;

use super::count;
use super::timeline::MAX_HANDOVER_US;
use super::timeline::Timeline;
use super::window::Window;

/// A valid catalogue that was published.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PublishedCatalogue {
    /// The revision at which it was published. A copy of the platform's data has it under
    /// the same number in later epochs.
    pub revision: Revision,
    /// The earliest time at which any node may have it in force, in microseconds since the
    /// Unix epoch.
    pub at_us: u64,
    /// The failure domains that the catalogue evacuates.
    pub evacuated: Vec<&'static str>,
}

/// An instance whose requests are judged.
#[derive(Debug, Clone, Copy)]
pub struct JudgedInstance<'a> {
    /// The number of the instance.
    pub number: usize,
    /// The id of the instance.
    pub id: &'a InstanceId,
    /// The failure domain of the instance.
    pub domain: &'a str,
}

/// The verdict on evacuations.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct EvacuationVerdict {
    /// How often a node was observed to have an evacuation of its own failure domain in force.
    pub evacuations: u64,
    /// Requests that targets started during these evacuations.
    #[serde(rename = "begun_while_evacuated")]
    pub started_while_evacuated: u64,
}

impl EvacuationVerdict {
    /// Judges the requests that targets started while their node had an evacuation in force.
    /// Whether nodes have it in force in time is judged with all other catalogue changes.
    pub fn judge<'a>(
        instances: impl Iterator<Item = JudgedInstance<'a>>,
        timeline: &Timeline<'_>,
    ) -> EvacuationVerdict {
        let mut verdict = EvacuationVerdict::default();
        for instance in instances {
            let windows = windows(instance, timeline);
            verdict.evacuations += count(windows.len());
            let late_starts = |window: &Window| {
                let starts = timeline.starts_us(instance.number);
                let late = starts.filter(|at_us| {
                    *at_us > window.from_us + MAX_HANDOVER_US && *at_us < window.to_us
                });
                late.filter(|at_us| !timeline.may_be_delayed(instance.number, *at_us, *at_us))
                    .count()
            };
            verdict.started_while_evacuated += count(windows.iter().map(late_starts).sum());
        }
        verdict
    }

    /// Whether no request started during an evacuation.
    pub fn has_passed(&self) -> bool {
        self.started_while_evacuated == 0
    }
}

/// When a node was observed to have an evacuation of its own failure domain in force. Each
/// window lies within one run of its process.
fn windows(instance: JudgedInstance<'_>, timeline: &Timeline<'_>) -> Vec<Window> {
    let mut windows: Vec<Window> = Vec::new();
    for (from_us, held) in timeline.catalogues_in_force(instance.id) {
        let Some(until_us) = evacuated_until(instance.domain, timeline.catalogues, held) else {
            continue;
        };
        // The next process of the node has to receive the catalogue first.
        let to_us = until_us.min(timeline.next_process_end_us(instance.number, from_us));
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
    let mut later = catalogues.iter().skip_while(|it| *it != held).skip(1);
    let withdrawn = later.find(|it| !evacuates(it));
    Some(withdrawn.map_or(u64::MAX, |it| it.at_us))
}
