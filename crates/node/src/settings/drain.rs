//! How a node stops.

use std::ops::RangeInclusive;
use std::time::Duration;

use sassafrasspool_core::Faults;
use sassafrasspool_core::yaml::Table;

use super::value::millis_or;

/// Bounds of the bound, in milliseconds.
const BOUND_MS: RangeInclusive<u64> = 100..=3_600_000;

/// Bounds on a planned stop.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DrainSettings {
    /// How long requests in flight may take to finish before they are cut.
    pub bound: Duration,
}

impl Default for DrainSettings {
    /// Half a minute.
    fn default() -> DrainSettings {
        DrainSettings {
            bound: Duration::from_secs(30),
        }
    }
}

impl DrainSettings {
    pub(super) fn read(mut table: Table<'_>, faults: &mut Faults) -> Option<DrainSettings> {
        let default = DrainSettings::default();
        let bound = millis_or(&mut table, "bound_ms", BOUND_MS, default.bound, faults);
        table.finish(faults);
        Some(DrainSettings { bound: bound? })
    }
}
