//! Kinds of requests.

use serde::Deserialize;
use serde::Serialize;

use crate::KindName;

/// A kind of request and its weight.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Kind {
    /// The kind's name.
    pub name: KindName,
    /// How much one answered request counts in the weighted total, 1 to 1,000.
    pub weight: u32,
}
