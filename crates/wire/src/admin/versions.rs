//! Which versions a node knows of.

use sassafrasspool_core::InstanceId;
use serde::Deserialize;
use serde::Serialize;

use super::Held;
use super::VersionInfo;

/// What a node holds and what it heard of.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Versions {
    /// The instance beside which the node runs.
    pub instance: InstanceId,
    /// What is in force.
    pub held: Held,
    /// The newest that it heard of.
    pub heard: Held,
    /// The last catalogue that it refused.
    pub refused: Option<VersionInfo>,
    /// Versions refused since the node's start.
    pub refusals: u64,
    /// Revisions that came with two contents since the node's start.
    pub conflicts: u64,
}
