//! Evacuations of failure domains, as ordered by operators.

use serde::Deserialize;
use serde::Serialize;

use crate::DomainName;
use crate::Revision;

/// An operator's order to send no new requests to the targets of a failure domain.
///
/// It is in force while the catalogue contains it. Requests that already run there
/// complete, and callers that connect there are served from other domains.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    /// The evacuated failure domain.
    pub domain: DomainName,
    /// The platform's revision at which it was ordered, if the platform reports one.
    pub since: Option<Revision>,
}
