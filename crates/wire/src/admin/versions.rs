//! Versions that a node has in force, and versions advertised to it.

use sassafrasspool_core::InstanceId;
use serde::Deserialize;
use serde::Serialize;

use super::StreamVersions;
use super::VersionInfo;

/// Versions in force on a node, advertised to it and refused by it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Versions {
    /// The node's instance.
    pub instance: InstanceId,
    /// The versions in force.
    pub held: StreamVersions,
    /// The newest advertised versions.
    pub heard: StreamVersions,
    /// The last refused version of the catalogue.
    pub refused: Option<VersionInfo>,
    /// Versions refused since the node's start.
    pub refusals: u64,
    /// Revisions received with two different contents since the node's start.
    pub conflicts: u64,
}
