//! Where a node stands.

use crate::DomainName;
use crate::Instance;
use crate::InstanceId;
use crate::RegionName;

/// Number of tiers.
pub(super) const TIERS: usize = 3;

/// A node's own place in the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Position {
    /// The instance that the node stands beside.
    pub instance: InstanceId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its region.
    pub region: RegionName,
}

impl Position {
    /// How far away an instance is: its tier, the nearest first.
    pub(super) fn tier_of(&self, instance: &Instance) -> usize {
        let same_region = instance.region == self.region;
        match (same_region, instance.domain == self.domain) {
            (true, true) => 0,
            (true, false) => 1,
            (false, _) => 2,
        }
    }
}
