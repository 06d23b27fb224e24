//! Settings of how a node stops.

use std::ops::RangeInclusive;
use std::time::Duration;

use sassafrasspool_core::Faults;
use sassafrasspool_core::yaml::Table;

use super::value::decimal;
use super::value::millis_or;

/// Allowed timeouts of requests in flight, in milliseconds.
const BOUND_MS: RangeInclusive<u64> = 100..=3_600_000;

/// Allowed grace periods, in seconds: the time between a platform's signal to stop
/// and its kill of the process. The setting is text.
const GRACE_S: RangeInclusive<f64> = 1.0..=3_600.0;

/// The fraction of the grace period that remains after requests were cut: one second
/// of six. In it the final announcement is sent to peers and callers read their
/// answers.
const GRACE_FRACTION_AFTER_CUT: f64 = 1.0 / 6.0;

/// Allowed times for which callers are still served, in milliseconds.
const CALLERS_MS: RangeInclusive<u64> = 0..=60_000;

/// Time limits of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DrainSettings {
    /// The time in which requests in flight may finish before they are cut.
    pub in_flight_timeout: Duration,
    /// How long the node still serves after a request to stop, while it reports
    /// that it isn't ready. Zero refuses callers at once; a longer time suits a
    /// deployment whose callers take a while to switch to other nodes.
    pub caller_grace: Duration,
}

impl Default for DrainSettings {
    /// Requests in flight get 30 seconds; callers are refused at once.
    fn default() -> DrainSettings {
        DrainSettings {
            in_flight_timeout: Duration::from_secs(30),
            caller_grace: Duration::ZERO,
        }
    }
}

impl DrainSettings {
    pub(super) fn read(mut table: Table<'_>, faults: &mut Faults) -> Option<DrainSettings> {
        let default = DrainSettings::default();
        let caller_grace = millis_or(
            &mut table,
            "callers_ms",
            CALLERS_MS,
            default.caller_grace,
            faults,
        );
        let grace = table.optional_text("grace_s", faults, parse_grace);
        let given = grace.flatten().zip(caller_grace);
        let given =
            given.map(|(grace, caller_grace)| in_flight_timeout_within(grace, caller_grace));
        let default_bound = given.unwrap_or(default.in_flight_timeout);
        let in_flight_timeout = millis_or(&mut table, "bound_ms", BOUND_MS, default_bound, faults);
        table.finish(faults);
        Some(DrainSettings {
            in_flight_timeout: in_flight_timeout?,
            caller_grace: caller_grace?,
        })
    }
}

/// Parses a time in seconds; `None` for an empty text, which a platform gives if it
/// has no grace period.
fn parse_grace(text: &str) -> Result<Option<Duration>, String> {
    let secs = decimal(text, &GRACE_S, " seconds")?;
    Ok(secs.map(Duration::from_secs_f64))
}

/// The timeout of requests in flight if the process is killed `grace` after the
/// signal to stop and callers are still served for `caller_grace`.
///
/// A timeout that isn't derived from the grace period would cut requests when half of
/// it is left.
fn in_flight_timeout_within(grace: Duration, caller_grace: Duration) -> Duration {
    let cut_at = grace.mul_f64(1.0 - GRACE_FRACTION_AFTER_CUT);
    let min = Duration::from_millis(*BOUND_MS.start());
    cut_at.saturating_sub(caller_grace).max(min)
}
