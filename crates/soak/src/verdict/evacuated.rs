//! Whether targets of evacuated failure domains got no new work.

use sassafrasspool_bench::chaos::events::Stopped;
use sassafrasspool_bench::load::LedgerRun;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::history::Event;
use sassafrasspool_core::history::History;
use sassafrasspool_core::history::Record;
use serde::Serialize;

use super::Hurt;
use super::count;
use super::window::Window;

/// How long a request may be on its way from a node to its target, in microseconds.
const HAND_OVER_US: u64 = 1_000_000;

/// A catalogue that binds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PublishedCatalogue {
    /// Its revision.
    pub revision: u64,
    /// The earliest that anybody may have it in force, in microseconds since the Unix epoch.
    pub at_us: u64,
    /// The failure domains that it evacuates.
    pub evacuated: Vec<&'static str>,
}

/// An instance as its evacuations are judged.
#[derive(Debug, Clone, Copy)]
pub struct Evacuee<'a> {
    /// Its number.
    pub instance: usize,
    /// Its name.
    pub id: &'a InstanceId,
    /// Its failure domain.
    pub domain: &'a str,
}

impl Evacuee<'_> {
    /// When the process beside it next ends, from `at_us` on.
    pub(super) fn next_end_us(&self, ends: &[Stopped], at_us: u64) -> u64 {
        let of_it = ends.iter().filter(|it| it.instance == self.instance);
        let later = of_it.map(|it| it.at_us).filter(|it| *it >= at_us);
        later.min().unwrap_or(u64::MAX)
    }

    /// Whether what its target began in that span may have been held up on its way.
    pub(super) fn is_held_up(&self, stalled: &[Hurt], from_us: u64, to_us: u64) -> bool {
        stalled.iter().any(|stall| {
            stall.instance == self.instance
                && stall.from_us <= to_us
                && from_us <= stall.to_us.saturating_add(HAND_OVER_US)
        })
    }
}

/// What became of evacuations.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Evacuated {
    /// How often a node was seen to have an evacuation of its own failure domain in force.
    pub evacuations: u64,
    /// Requests that its target began all the same.
    pub begun_while_evacuated: u64,
}

impl Evacuated {
    /// Judges what targets began while the node beside them had an evacuation in force. That
    /// nodes have it in force in time is judged with all other changes of the catalogue.
    pub fn judge<'a>(
        evacuees: impl Iterator<Item = Evacuee<'a>>,
        catalogues: &[PublishedCatalogue],
        history: &History,
        runs: &[LedgerRun],
        kills: &[Stopped],
        stalled: &[Hurt],
    ) -> Evacuated {
        let mut judged = Evacuated::default();
        let records = history.in_order();
        for evacuee in evacuees {
            let windows = windows(evacuee, catalogues, &records, kills);
            judged.evacuations += count(windows.len());
            let begun = runs.iter().filter(|run| run.instance == evacuee.instance);
            let begun = begun.filter(|run| run.run.began());
            let begun_in = |window: &Window| {
                let late = begun.clone().filter(|run| {
                    let at_us = run.run.started_us;
                    at_us > window.from_us + HAND_OVER_US && at_us < window.to_us
                });
                let held_up = |run: &&LedgerRun| {
                    let at_us = run.run.started_us;
                    evacuee.is_held_up(stalled, at_us, at_us)
                };
                late.filter(|run| !held_up(run)).count()
            };
            judged.begun_while_evacuated += count(windows.iter().map(begun_in).sum());
        }
        judged
    }

    /// Whether none of them began.
    pub fn is_kept(&self) -> bool {
        self.begun_while_evacuated == 0
    }
}

/// When a node was seen to have an evacuation of its own failure domain in force, by one
/// start of its process each.
fn windows(
    evacuee: Evacuee<'_>,
    catalogues: &[PublishedCatalogue],
    records: &[&Record],
    kills: &[Stopped],
) -> Vec<Window> {
    let mut windows: Vec<Window> = Vec::new();
    for record in records {
        let Event::InForce { node, held } = &record.event else {
            continue;
        };
        if node != evacuee.id {
            continue;
        }
        let revision = held.catalogue.revision().get();
        let Some(until_us) = evacuated_until(evacuee.domain, catalogues, revision) else {
            continue;
        };
        let from_us = record.at.as_micros();
        // The next start of its process has to hear of it first.
        let to_us = until_us.min(evacuee.next_end_us(kills, from_us));
        match windows.last_mut() {
            Some(last) if from_us <= last.to_us => last.to_us = last.to_us.max(to_us),
            _ => windows.push(Window { from_us, to_us }),
        }
    }
    windows
}

/// Until when nobody may have a catalogue in force that doesn't evacuate a failure domain,
/// if the one of that revision does.
fn evacuated_until(domain: &str, catalogues: &[PublishedCatalogue], revision: u64) -> Option<u64> {
    let evacuates = |it: &&PublishedCatalogue| it.evacuated.contains(&domain);
    let held = catalogues.iter().find(|it| it.revision == revision)?;
    if !evacuates(&held) {
        return None;
    }
    let mut later = catalogues.iter().filter(|it| it.revision > revision);
    let withdrawn = later.find(|it| !evacuates(it));
    Some(withdrawn.map_or(u64::MAX, |it| it.at_us))
}
