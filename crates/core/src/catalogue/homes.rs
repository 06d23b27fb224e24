//! Regions in which the requests of a route may be served.

use serde::Deserialize;
use serde::Serialize;

use crate::RegionName;

/// The regions in which the requests of a route may be served.
///
/// # Example
///
/// ```
/// use sassafrasspool_core::Homes;
/// use sassafrasspool_core::RegionName;
///
/// let kerala = RegionName::new("kerala")?;
/// let goa = RegionName::new("goa")?;
/// assert!(Homes::default().allows(&goa));
/// let homes = Homes::new([kerala.clone()]);
/// assert!(homes.allows(&kerala));
/// assert!(!homes.allows(&goa));
/// # Ok::<(), sassafrasspool_core::Error>(())
/// ```
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Homes(Vec<RegionName>);

impl Homes {
    /// Allows these regions only; allows every region if `regions` is empty.
    pub fn new(regions: impl IntoIterator<Item = RegionName>) -> Homes {
        Homes(regions.into_iter().collect())
    }

    /// Whether every region is allowed.
    pub fn is_unrestricted(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether targets of `region` may serve the requests.
    pub fn allows(&self, region: &RegionName) -> bool {
        self.is_unrestricted() || self.0.contains(region)
    }

    /// The allowed regions; empty if every region is allowed.
    pub fn regions(&self) -> &[RegionName] {
        &self.0
    }
}
