//! Checks that targets got no more requests than they tolerate while they were cold after
//! an evacuation.

use serde::Serialize;

use super::Evacuee;
use super::count;
use super::facts::Facts;
use super::window::Window;
use crate::catalogue::COLD_FOR;
use crate::catalogue::COLD_MOST_PER_S;

/// The span in which the requests to a cold target are bounded, in microseconds.
const SECOND_US: u64 = 1_000_000;

/// [`COLD_FOR`] in microseconds.
const COLD_FOR_US: u64 = COLD_FOR.as_secs() * SECOND_US;

/// The verdict on targets that were cold after an evacuation had ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct ColdReturns {
    /// How often a node was observed to have the end of its own evacuation in force while
    /// its target was cold.
    pub cold_returns: u64,
    /// Requests that cold targets started beyond what they tolerate within a second.
    pub begun_too_cold: u64,
}

impl ColdReturns {
    /// Judges the requests that targets started, from when their node was observed to have
    /// the end of an evacuation in force until the targets may be warm. A node process that
    /// starts in between may not have received the evacuation.
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

    /// Whether no cold target got too many requests.
    pub fn is_kept(&self) -> bool {
        self.begun_too_cold == 0
    }
}

/// Requests beyond the limit within the worst second of a window, of those that started at
/// the sorted times `begun`. A second in which earlier requests may have been delayed on
/// their way counts as zero.
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

/// When the target of an instance is certainly cold, because one process of its node had
/// first an evacuation of its failure domain in force and then the end of it.
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
