//! Failure domains that operators have evacuated.

use serde::Deserialize;
use serde::Serialize;

use crate::DomainName;
use crate::Revision;

/// An operator's order that the targets of a failure domain get no new work.
///
/// It is in force for as long as the catalogue has it. What runs there ends by itself,
/// and callers that connect there are served elsewhere.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    /// The evacuated failure domain.
    pub domain: DomainName,
    /// The platform's revision at which it was ordered, where the platform tells.
    pub since: Option<Revision>,
}
