//! Endpoints of services.

use crate::Instance;
use crate::ServiceKey;

slotmap::new_key_type! {
    /// Names an endpoint within one snapshot.
    pub struct EndpointKey;
}

/// An instance as an endpoint of a service that the snapshot holds.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// The service that it belongs to.
    pub service: ServiceKey,
    /// The instance as the platform lists it.
    pub instance: Instance,
}
