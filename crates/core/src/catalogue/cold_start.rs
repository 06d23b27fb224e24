//! Limits of targets right after their start.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// How the targets of a service warm up.
///
/// A cold target crashes if it receives many more requests than it tolerates.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ColdStart {
    /// How long a target stays cold after its start.
    #[serde(rename = "lasts")]
    pub duration: Duration,
    /// Requests per second that a cold target tolerates; at least one.
    pub per_s: u32,
    /// The path on which a target reports how long it stays cold, if it reports it.
    pub probe_path: Option<String>,
}
