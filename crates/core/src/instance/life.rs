//! One life of a target.

use serde::Deserialize;
use serde::Serialize;

use crate::TargetId;

/// Which start of its target an instance is listed with.
///
/// An instance outlives its targets: one that crashes is followed by another
/// at the same address, perhaps of another service. A request that names the
/// life it was meant for is refused by every other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLife {
    /// The name that this start gave itself.
    pub id: TargetId,
    /// The platform's count at which it was first listed; the later one of two
    /// at one address is the one that runs.
    pub listed_at: u64,
}
