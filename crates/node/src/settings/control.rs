//! Settings of the connections for control messages.

use std::ops::RangeInclusive;

use sassafrasspool_core::Faults;
use sassafrasspool_core::yaml::Table;
use sassafrasspool_wire::peer::PeerLimits;

use super::value::usize_or;

/// Allowed numbers of connections kept open to other nodes.
const OPEN_CONNECTIONS: RangeInclusive<u64> = 1..=1_024;
/// Allowed numbers of connections accepted from other nodes.
const INBOUND_CONNECTIONS: RangeInclusive<u64> = 1..=16_384;

/// Limits of a node's control connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ControlSettings {
    /// The limits.
    pub limits: PeerLimits,
}

impl ControlSettings {
    pub(super) fn read(mut table: Table<'_>, faults: &mut Faults) -> Option<ControlSettings> {
        let default = PeerLimits::default();
        let open = usize_or(
            &mut table,
            "open",
            OPEN_CONNECTIONS,
            default.max_outbound,
            faults,
        );
        let inbound = usize_or(
            &mut table,
            "inbound",
            INBOUND_CONNECTIONS,
            default.max_inbound,
            faults,
        );
        table.finish(faults);
        let limits = PeerLimits {
            max_outbound: open?,
            max_inbound: inbound?,
            ..default
        };
        Some(ControlSettings { limits })
    }
}
