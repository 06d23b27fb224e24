//! The platform's read-only service.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use sassafrasspool_core::Faults;
use sassafrasspool_core::yaml::Table;

use super::value::addr;
use super::value::u32_or;

/// Bounds of the platform's budget, in reads a second.
const READS_PER_S: RangeInclusive<u64> = 1..=1_000_000;
/// Bounds of the fleet's share, in percent.
const SHARE_PERCENT: RangeInclusive<u64> = 1..=100;
/// What the platform answers to all readers, in reads a second.
const DEFAULT_READS_PER_S: u32 = 2_000;
/// What the fleet takes of that unless settings say otherwise, in percent.
const DEFAULT_SHARE_PERCENT: u32 = 25;

/// Where the platform is and how much of it the fleet may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Its address.
    pub addr: SocketAddr,
    /// Reads a second that it answers to all readers together.
    pub reads_per_s: u32,
    /// The share of those that the whole fleet may use, in percent.
    pub share_percent: u32,
}

impl PlatformSettings {
    pub(super) fn read(mut table: Table<'_>, faults: &mut Faults) -> Option<PlatformSettings> {
        let addr = table.text("addr", faults, addr);
        let reads = u32_or(
            &mut table,
            "reads_per_s",
            READS_PER_S,
            DEFAULT_READS_PER_S,
            faults,
        );
        let share = u32_or(
            &mut table,
            "share_percent",
            SHARE_PERCENT,
            DEFAULT_SHARE_PERCENT,
            faults,
        );
        table.finish(faults);
        Some(PlatformSettings {
            addr: addr?,
            reads_per_s: reads?,
            share_percent: share?,
        })
    }
}
