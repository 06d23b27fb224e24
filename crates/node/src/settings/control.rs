//! Connections for control messages.

use std::ops::RangeInclusive;

use sassafrasspool_core::Faults;
use sassafrasspool_core::yaml::Table;
use sassafrasspool_wire::peer::PeerLimits;

use super::value::usize_or;

/// Bounds of the connections kept open to others.
const OPEN: RangeInclusive<u64> = 1..=1_024;
/// Bounds of the connections taken from others.
const INBOUND: RangeInclusive<u64> = 1..=16_384;

/// How much a node gives to connections with other nodes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ControlSettings {
    /// The bounds.
    pub limits: PeerLimits,
}

impl ControlSettings {
    pub(super) fn read(mut table: Table<'_>, faults: &mut Faults) -> Option<ControlSettings> {
        let was = PeerLimits::default();
        let open = usize_or(&mut table, "open", OPEN, was.open, faults);
        let inbound = usize_or(&mut table, "inbound", INBOUND, was.inbound, faults);
        table.finish(faults);
        let limits = PeerLimits {
            open: open?,
            inbound: inbound?,
            ..was
        };
        Some(ControlSettings { limits })
    }
}
