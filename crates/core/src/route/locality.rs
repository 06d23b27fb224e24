//! The position of a node in regions and failure domains.

use crate::DomainName;
use crate::Instance;
use crate::InstanceId;
use crate::RegionName;

/// Number of distance tiers.
pub(super) const TIERS: usize = 3;

/// A node's own position in the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Locality {
    /// The instance whose node this is.
    pub instance: InstanceId,
    /// The failure domain of the instance.
    pub domain: DomainName,
    /// The region of the instance.
    pub region: RegionName,
}

impl Locality {
    /// The tier of an instance by its distance, 0 being the nearest: the same failure domain,
    /// the same region, elsewhere.
    pub(super) fn tier_of(&self, instance: &Instance) -> usize {
        let same_region = instance.region == self.region;
        match (same_region, instance.domain == self.domain) {
            (true, true) => 0,
            (true, false) => 1,
            (false, _) => 2,
        }
    }
}
