//! What the platform believes of an instance.

use serde::Deserialize;
use serde::Serialize;

/// The platform's view, which lags.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// It takes requests, as far as the platform knows.
    Live,
    /// It was told to leave and takes no new requests.
    Leaving,
}
