//! Settings of the platform's read-only service.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use sassafrasspool_core::Faults;
use sassafrasspool_core::yaml::Table;

use super::value::addr;
use super::value::u32_or;

/// Allowed limits of the platform, in reads per second.
const READS_PER_S: RangeInclusive<u64> = 1..=1_000_000;
/// Allowed shares of the fleet, in percent.
const SHARE_PERCENT: RangeInclusive<u64> = 1..=100;
/// The default limit of the platform for all readers, in reads per second.
const DEFAULT_READS_PER_S: u32 = 2_000;
/// The fleet's default share of the platform's reads, in percent.
const DEFAULT_SHARE_PERCENT: u32 = 25;

/// The platform's address and the read rate that the fleet may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlatformSettings {
    /// The platform's address.
    pub addr: SocketAddr,
    /// Reads per second that the platform answers to all readers together.
    pub reads_per_s: u32,
    /// The share of these reads that the whole fleet may use, in percent.
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
