//! Reports of crashes, answers and releases, as nodes exchange them.

use serde::Deserialize;
use serde::Serialize;

use super::Content;
use super::Fingerprint;
use crate::InstanceId;

/// An observation of a node, or an order of an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Observation {
    /// The target crashed while it ran requests of these contents.
    Crashed(Vec<Content>),
    /// The target gave a whole answer to a request of this content.
    Answered(Fingerprint),
    /// An operator released requests of this content from quarantine.
    Released(Fingerprint),
}

/// The id of a report.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ReportId {
    /// The node that made the observation or received the order.
    #[serde(rename = "witness")]
    pub reporter: InstanceId,
    /// The incarnation of that node.
    pub incarnation: u64,
    /// The number of the report within that incarnation.
    pub number: u64,
}

/// An observation as nodes exchange it.
///
/// It carries its age instead of a time, since wall clocks differ between instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The id of the report.
    pub id: ReportId,
    /// Milliseconds since the observation.
    pub age_ms: u32,
    /// The observation.
    #[serde(rename = "sighting")]
    pub observation: Observation,
}
