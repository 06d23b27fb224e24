//! Services of a snapshot.

use std::sync::Arc;

use crate::EndpointKey;
use crate::ServiceEntry;

slotmap::new_key_type! {
    /// The key of a service within one snapshot.
    pub struct ServiceKey;
}

/// A service with its endpoints.
#[derive(Debug, Clone)]
pub struct BoundService {
    /// The service as the catalogue describes it.
    pub entry: Arc<ServiceEntry>,
    /// Its endpoints, in the order of their instance ids; may be empty.
    pub endpoints: Vec<EndpointKey>,
}
