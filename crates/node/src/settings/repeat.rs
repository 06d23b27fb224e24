//! Settings of deduplication by request key.

use std::ops::RangeInclusive;

use sassafrasspool_core::DedupSettings;
use sassafrasspool_core::Faults;
use sassafrasspool_core::yaml::Table;

use super::value::millis_or;
use super::value::usize_or;

/// Allowed times for which a key is kept, in milliseconds.
const HOLD_MS: RangeInclusive<u64> = 100..=86_400_000;
/// Allowed ages of the proof that the instance list is in force, in milliseconds.
const LEASE_MS: RangeInclusive<u64> = 100..=600_000;
/// Allowed limits of the number of keys that are kept.
const MAX_KEYS: RangeInclusive<u64> = 1..=10_000_000;
/// Allowed limits of the bytes of stored answers.
const MAX_BYTES: RangeInclusive<u64> = 0..=1_073_741_824;

/// Reads the settings of the deduplication window.
pub(super) fn read(mut table: Table<'_>, faults: &mut Faults) -> Option<DedupSettings> {
    let default = DedupSettings::default();
    let hold = millis_or(&mut table, "hold_ms", HOLD_MS, default.hold, faults);
    let lease = millis_or(&mut table, "lease_ms", LEASE_MS, default.lease, faults);
    let max_keys = usize_or(&mut table, "max_keys", MAX_KEYS, default.max_keys, faults);
    let max_bytes = usize_or(
        &mut table,
        "max_bytes",
        MAX_BYTES,
        default.max_bytes,
        faults,
    );
    table.finish(faults);
    Some(DedupSettings {
        hold: hold?,
        lease: lease?,
        max_keys: max_keys?,
        max_bytes: max_bytes?,
        ..default
    })
}
