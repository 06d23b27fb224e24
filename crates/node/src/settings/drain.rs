//! How a node stops.

use std::ops::RangeInclusive;
use std::time::Duration;

use sassafrasspool_core::Faults;
use sassafrasspool_core::yaml::Table;

use super::value::decimal;
use super::value::millis_or;

/// Bounds of the bound, in milliseconds.
const BOUND_MS: RangeInclusive<u64> = 100..=3_600_000;

/// What a platform grants a process that it told to stop, before it kills it: text,
/// in seconds.
const GRACE_S: RangeInclusive<f64> = 1.0..=3_600.0;

/// The part of the grace that is left once requests were cut, for the last word to
/// peers and for callers to read what they were told: in six seconds, one.
const AFTER_CUT: f64 = 1.0 / 6.0;

/// Bounds of the time for which callers are still served, in milliseconds.
const CALLERS_MS: RangeInclusive<u64> = 0..=60_000;

/// Bounds on a planned stop.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DrainSettings {
    /// How long requests in flight may take to finish before they are cut.
    pub bound: Duration,
    /// How long the node goes on after it was told to stop, while it says that
    /// it isn't ready any more. Zero refuses callers at once; more suits a
    /// deployment whose callers take a while to go elsewhere.
    pub callers: Duration,
}

impl Default for DrainSettings {
    /// Half a minute.
    fn default() -> DrainSettings {
        DrainSettings {
            bound: Duration::from_secs(30),
            callers: Duration::ZERO,
        }
    }
}

impl DrainSettings {
    pub(super) fn read(mut table: Table<'_>, faults: &mut Faults) -> Option<DrainSettings> {
        let default = DrainSettings::default();
        let callers = millis_or(
            &mut table,
            "callers_ms",
            CALLERS_MS,
            default.callers,
            faults,
        );
        let grace = table.optional_text("grace_s", faults, grace);
        let granted = grace.flatten().zip(callers);
        let granted = granted.map(|(grace, callers)| bound_within(grace, callers));
        let unless_set = granted.unwrap_or(default.bound);
        let bound = millis_or(&mut table, "bound_ms", BOUND_MS, unless_set, faults);
        table.finish(faults);
        Some(DrainSettings {
            bound: bound?,
            callers: callers?,
        })
    }
}

/// Reads a time in seconds; nothing if the platform doesn't tell it.
fn grace(text: &str) -> Result<Option<Duration>, String> {
    let secs = decimal(text, &GRACE_S, " seconds")?;
    Ok(secs.map(Duration::from_secs_f64))
}

/// How long requests in flight may take if the process is killed `grace` after it
/// was told to stop.
///
/// A bound that doesn't follow the grace cuts requests with half of it to go.
fn bound_within(grace: Duration, callers: Duration) -> Duration {
    let cut_at = grace.mul_f64(1.0 - AFTER_CUT);
    let least = Duration::from_millis(*BOUND_MS.start());
    cut_at.saturating_sub(callers).max(least)
}
