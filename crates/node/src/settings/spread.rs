//! How versions travel between nodes.

use std::ops::RangeInclusive;
use std::time::Duration;

use sassafrasspool_core::Faults;
use sassafrasspool_core::yaml::Table;

use super::value::millis_or;
use super::value::u32_or;

/// Bounds of the fan-out.
const FANOUT: RangeInclusive<u64> = 1..=16;
/// Bounds of the time between two exchanges, in milliseconds.
const INTERVAL_MS: RangeInclusive<u64> = 50..=600_000;
/// Bounds of the linger, in milliseconds.
const LINGER_MS: RangeInclusive<u64> = 0..=10_000;

/// Parameters of dissemination.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpreadSettings {
    /// Peers that hear of a new version at once.
    pub fanout: u32,
    /// Time between two exchanges with a random peer.
    pub interval: Duration,
    /// How long a new version is held back so that a burst goes as one.
    pub linger: Duration,
}

impl Default for SpreadSettings {
    fn default() -> SpreadSettings {
        SpreadSettings {
            fanout: 3,
            interval: Duration::from_secs(2),
            linger: Duration::ZERO,
        }
    }
}

impl SpreadSettings {
    pub(super) fn read(mut table: Table<'_>, faults: &mut Faults) -> Option<SpreadSettings> {
        let default = SpreadSettings::default();
        let fanout = u32_or(&mut table, "fanout", FANOUT, default.fanout, faults);
        let interval = millis_or(
            &mut table,
            "interval_ms",
            INTERVAL_MS,
            default.interval,
            faults,
        );
        let linger = millis_or(&mut table, "linger_ms", LINGER_MS, default.linger, faults);
        table.finish(faults);
        Some(SpreadSettings {
            fanout: fanout?,
            interval: interval?,
            linger: linger?,
        })
    }
}
