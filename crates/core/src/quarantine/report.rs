//! What nodes see of requests and crashes, and tell one another.

use serde::Deserialize;
use serde::Serialize;

use super::Content;
use super::Fingerprint;
use crate::InstanceId;

/// What a node has seen, or was told by an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Sighting {
    /// The target crashed while it ran these.
    Crashed(Vec<Content>),
    /// The target gave a whole answer to a request of this content.
    Answered(Fingerprint),
    /// An operator let requests of this content run again.
    Released(Fingerprint),
}

/// Which report it is.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ReportId {
    /// The node that saw it, or was told.
    pub witness: InstanceId,
    /// Which start of that node.
    pub incarnation: u64,
    /// Counts the reports of that start.
    pub number: u64,
}

/// A sighting on its way between nodes.
///
/// It is told as an age, since wall clocks differ between instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Which it is.
    pub id: ReportId,
    /// Milliseconds since it was seen.
    pub age_ms: u32,
    /// What was seen.
    pub sighting: Sighting,
}
