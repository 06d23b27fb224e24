//! Settings of the instance's network link.

use std::ops::RangeInclusive;

use sassafrasspool_core::Faults;
use sassafrasspool_core::LinkRate;
use sassafrasspool_core::yaml::Table;

use super::value::decimal;

/// Allowed bandwidths, in megabits a second. The setting is text.
const MBPS: RangeInclusive<f64> = 0.01..=1_000_000.0;

/// The network link of the instance.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LinkSettings {
    /// The rate of the link. Without it, large answers aren't limited.
    pub rate: Option<LinkRate>,
}

impl LinkSettings {
    pub(super) fn read(mut table: Table<'_>, faults: &mut Faults) -> Option<LinkSettings> {
        let rate = table.optional_text("mbps", faults, parse_rate);
        table.finish(faults);
        Some(LinkSettings {
            rate: rate.flatten(),
        })
    }
}

/// Parses a bandwidth; `None` for an empty text, which a platform gives if it knows none.
fn parse_rate(text: &str) -> Result<Option<LinkRate>, String> {
    let mbps = decimal(text, &MBPS, " megabits a second")?;
    let rate = mbps.map(LinkRate::from_mbps).transpose();
    rate.map_err(|err| err.to_string())
}
