//! Endpoints of a snapshot.

use crate::Instance;
use crate::ServiceKey;

slotmap::new_key_type! {
    /// The key of an endpoint within one snapshot.
    pub struct EndpointKey;
}

/// An instance as an endpoint of a service of the same snapshot.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// The service to which it belongs.
    pub service: ServiceKey,
    /// The instance as the platform lists it.
    pub instance: Instance,
}
