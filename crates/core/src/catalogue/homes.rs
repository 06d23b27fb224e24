//! Regions that requests must not leave.

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
    /// These regions alone; every region if there are none.
    pub fn new(regions: impl IntoIterator<Item = RegionName>) -> Homes {
        Homes(regions.into_iter().collect())
    }

    /// Whether every region may serve the requests.
    pub fn is_anywhere(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether targets of a region may get the requests.
    pub fn allows(&self, region: &RegionName) -> bool {
        self.is_anywhere() || self.0.contains(region)
    }

    /// The regions, if there are any.
    pub fn regions(&self) -> &[RegionName] {
        &self.0
    }
}
