//! Whether targets that turned cold got no more than they tolerate.

use serde::Serialize;

use super::Evacuee;
use super::count;
use super::facts::Facts;
use super::window::Window;
use crate::catalogue::COLD_FOR;
use crate::catalogue::COLD_MOST_PER_S;

/// The span over which what a cold target gets is bounded, in microseconds.
const SECOND_US: u64 = 1_000_000;

/// [`COLD_FOR`] in microseconds.
const COLD_FOR_US: u64 = COLD_FOR.as_secs() * SECOND_US;

/// What became of targets that turned cold as an evacuation ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct ColdReturns {
    /// How often a node was seen to have the end of its own evacuation in force while its
    /// target was cold.
    pub cold_returns: u64,
    /// Requests that cold targets began beyond what they tolerate within a second.
    pub begun_too_cold: u64,
}

impl ColdReturns {
    /// Judges what targets began from when the node beside them was seen to have the end of
    /// an evacuation in force until they may be warm. A process that starts meanwhile may
    /// not know of the evacuation.
    pub fn judge<'a>(
        evacuees: impl Iterator<Item = Evacuee<'a>>,
        facts: &Facts<'_>,
    ) -> ColdReturns {
        let mut judged = ColdReturns::default();
        for evacuee in evacuees {
            let windows = windows(evacuee, facts);
            judged.cold_returns += count(windows.len());
            let mut begun: Vec<u64> = facts.begun(evacuee.instance).collect();
            begun.sort_unstable();
            let held_up =
                |from_us: u64| facts.is_held_up(evacuee.instance, from_us, from_us + SECOND_US);
            for window in windows {
                judged.begun_too_cold += count(excess(window, &begun, held_up));
            }
        }
        judged
    }

    /// Whether none got more.
    pub fn is_kept(&self) -> bool {
        self.begun_too_cold == 0
    }
}

/// Requests beyond the limit within the worst second of a window, of those that began at the
/// sorted times `begun`. A second in which what was sent earlier was held up counts for nothing.
fn excess(window: Window, begun: &[u64], held_up: impl Fn(u64) -> bool) -> usize {
    let is_inside = |at: &&u64| (window.from_us..window.to_us).contains(*at);
    let inside: Vec<u64> = begun.iter().filter(is_inside).copied().collect();
    let excess = inside.iter().enumerate().map(|(first, from_us)| {
        let within = inside[first..].partition_point(|at| *at < from_us + SECOND_US);
        match held_up(*from_us) {
            true => 0,
            false => within.saturating_sub(COLD_MOST_PER_S),
        }
    });
    excess.max().unwrap_or(0)
}

/// While an instance's target is cold for sure, since one process beside it held both an
/// evacuation of its failure domain and the end of that.
fn windows(evacuee: Evacuee<'_>, facts: &Facts<'_>) -> Vec<Window> {
    let mut windows = Vec::new();
    let mut evacuated_us = None;
    for (at_us, held) in facts.in_force(evacuee.id) {
        if held.evacuated.contains(&evacuee.domain) {
            evacuated_us = Some(at_us);
            continue;
        }
        let Some(evacuated_us) = evacuated_us.take() else {
            continue;
        };
        let cold_until_us = held.at_us + COLD_FOR_US;
        let window = Window {
            from_us: at_us,
            to_us: cold_until_us.min(facts.next_end_us(evacuee.instance, evacuated_us)),
        };
        if window.from_us < window.to_us {
            windows.push(window);
        }
    }
    windows
}
