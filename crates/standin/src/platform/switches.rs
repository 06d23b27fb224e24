//! The faults that can be switched on.

use serde::Deserialize;
use serde::Serialize;

/// A change of switches: those that are absent stay as they are.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformSwitches {
    /// Answers every read with 503, the waiting ones at once.
    pub outage: Option<bool>,
    /// Takes reads and never answers them, also when it is switched off; watches that
    /// waited before are answered then.
    pub silent: Option<bool>,
    /// Serves what is visible at this moment until it is switched off.
    pub stale: Option<bool>,
    /// Milliseconds after which instance lists published from now on are seen.
    pub list_lag_ms: Option<u64>,
    /// Milliseconds that each answer is held back after it was determined, so
    /// that answers can cross newer ones.
    pub answer_delay_ms: Option<u64>,
}
