//! Checks that targets got no more requests than they tolerate while they were cold after
//! an evacuation.

use serde::Serialize;

use super::JudgedInstance;
use super::count;
use super::timeline::Timeline;
use super::window::Window;
use crate::catalogue::COLD_DURATION;
use crate::catalogue::MAX_COLD_REQUESTS_PER_S;

/// The span in which the requests to a cold target are bounded, in microseconds.
const SECOND_US: u64 = 1_000_000;

/// [`COLD_DURATION`] in microseconds.
const COLD_DURATION_US: u64 = COLD_DURATION.as_secs() * SECOND_US;

/// The verdict on targets that were cold after an evacuation had ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct ColdStartVerdict {
    /// How often a node was observed to have the end of its own evacuation in force while
    /// its target was cold.
    pub cold_returns: u64,
    /// Requests that cold targets started beyond what they tolerate within a second.
    #[serde(rename = "begun_too_cold")]
    pub excess_requests: u64,
}

impl ColdStartVerdict {
    /// Judges the requests that targets started, from when their node was observed to have
    /// the end of an evacuation in force until the targets may be warm, whichever processes of
    /// the node sent them.
    pub fn judge<'a>(
        instances: impl Iterator<Item = JudgedInstance<'a>>,
        timeline: &Timeline<'_>,
    ) -> ColdStartVerdict {
        let mut verdict = ColdStartVerdict::default();
        for instance in instances {
            let windows = windows(instance, timeline);
            verdict.cold_returns += count(windows.len());
            let mut starts_us: Vec<u64> = timeline.starts_us(instance.number).collect();
            starts_us.sort_unstable();
            let may_be_delayed = |from_us: u64| {
                timeline.may_be_delayed(instance.number, from_us, from_us + SECOND_US)
            };
            for window in windows {
                verdict.excess_requests += count(excess(window, &starts_us, may_be_delayed));
            }
        }
        verdict
    }

    /// Each cold target that started too many requests, in words.
    pub fn describe<'a>(
        instances: impl Iterator<Item = JudgedInstance<'a>>,
        timeline: &Timeline<'_>,
    ) -> Vec<String> {
        let mut described = Vec::new();
        for instance in instances {
            let one = || std::iter::once(instance);
            let excess = ColdStartVerdict::judge(one(), timeline).excess_requests;
            if excess > 0 {
                let id = instance.id;
                let windows = windows(instance, timeline);
                described.push(format!(
                    "cold target of {id}: {excess} too many, {windows:?}"
                ));
            }
        }
        described
    }

    /// Whether no cold target got too many requests.
    pub fn has_passed(&self) -> bool {
        self.excess_requests == 0
    }
}

/// Requests beyond the limit within the worst second of a window, of those that started at
/// the sorted times `starts_us`. A second in which earlier requests may have been delayed on
/// their way counts as zero.
fn excess(window: Window, starts_us: &[u64], may_be_delayed: impl Fn(u64) -> bool) -> usize {
    let is_inside = |at: &&u64| (window.from_us..window.to_us).contains(*at);
    let inside: Vec<u64> = starts_us.iter().filter(is_inside).copied().collect();
    let excess = inside.iter().enumerate().map(|(first, from_us)| {
        let within = inside[first..].partition_point(|at| *at < from_us + SECOND_US);
        match may_be_delayed(*from_us) {
            true => 0,
            false => within.saturating_sub(MAX_COLD_REQUESTS_PER_S),
        }
    });
    excess.max().unwrap_or(0)
}

/// When the target of an instance is certainly cold, because its node had first an evacuation
/// of its failure domain in force and then the end of it.
fn windows(instance: JudgedInstance<'_>, timeline: &Timeline<'_>) -> Vec<Window> {
    let mut windows = Vec::new();
    let mut evacuated = false;
    for (at_us, held) in timeline.catalogues_in_force(instance.id) {
        if held.evacuated.contains(&instance.domain) {
            evacuated = true;
            continue;
        }
        if !std::mem::take(&mut evacuated) {
            continue;
        }
        let cold_until_us = held.at_us + COLD_DURATION_US;
        let window = Window {
            from_us: at_us,
            to_us: cold_until_us,
        };
        if window.from_us < window.to_us {
            windows.push(window);
        }
    }
    windows
}
