//! What targets bear right after their start.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// How targets of a service warm up.
///
/// A cold target crashes if it gets many more requests than it bears.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ColdStart {
    /// How long a target stays cold.
    pub lasts: Duration,
    /// Requests a second that a cold target bears; at least one.
    pub per_s: u32,
    /// The path on which a target tells how long it stays cold, if it tells.
    pub probe_path: Option<String>,
}
