//! The state of an instance in the platform's list.

use serde::Deserialize;
use serde::Serialize;

/// The state that the platform lists, which lags behind the actual state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// According to the platform, the instance accepts requests.
    Live,
    /// The instance was asked to leave and accepts no new requests.
    Leaving,
}
