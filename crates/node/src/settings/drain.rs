//! How a node stops.

use std::ops::RangeInclusive;
use std::time::Duration;

use sassafrasspool_core::Faults;
use sassafrasspool_core::yaml::Table;

use super::value::millis_or;

/// Bounds of the bound, in milliseconds.
const BOUND_MS: RangeInclusive<u64> = 100..=3_600_000;

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
        let bound = millis_or(&mut table, "bound_ms", BOUND_MS, default.bound, faults);
        let callers = millis_or(
            &mut table,
            "callers_ms",
            CALLERS_MS,
            default.callers,
            faults,
        );
        table.finish(faults);
        Some(DrainSettings {
            bound: bound?,
            callers: callers?,
        })
    }
}
