//! The difference between two versions of a document.

use serde::Deserialize;
use serde::Serialize;

use crate::Item;
use crate::Version;

/// The changes between two versions, which need not be consecutive.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(bound = "")]
pub struct Delta<T: Item> {
    /// The only version that the delta applies to.
    pub base: Version,
    /// The version that results from applying the delta.
    pub target: Version,
    /// Items that are new or changed.
    pub put: Vec<T>,
    /// Keys of removed items.
    pub remove: Vec<T::Key>,
}
