//! The switches that simulate faults of the platform.

use serde::Deserialize;
use serde::Serialize;

/// A change of switches; absent ones stay unchanged.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformSwitches {
    /// Answers every read with 503, and waiting ones immediately.
    pub outage: Option<bool>,
    /// Accepts reads and never answers them, not even after it is switched off. Watches
    /// that were already waiting are answered after it is switched off.
    pub silent: Option<bool>,
    /// Serves only the values visible now, until it is switched off.
    pub stale: Option<bool>,
    /// Milliseconds until instance lists published from now on become visible.
    pub list_lag_ms: Option<u64>,
    /// Milliseconds between determining an answer and sending it, so that a
    /// newer answer can overtake an older one.
    pub answer_delay_ms: Option<u64>,
    /// Returns at once to the copy of the data with these revisions as its newest.
    pub restore: Option<CopyRevisions>,
}

/// The numbers of the newest revisions in a copy of the platform's data.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CopyRevisions {
    /// The catalogue's.
    pub catalogue: u64,
    /// The instance list's.
    pub instances: u64,
}
