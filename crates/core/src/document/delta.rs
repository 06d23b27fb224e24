//! The difference between two versions of a document.

use serde::Deserialize;
use serde::Serialize;

use crate::Item;
use crate::Version;

/// What leads from one version to another, not always the next one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(bound = "")]
pub struct Delta<T: Item> {
    /// The only version that this applies to.
    pub base: Version,
    /// The version that it leads to.
    pub target: Version,
    /// Items that are new or changed.
    pub put: Vec<T>,
    /// Keys of items that are gone.
    pub remove: Vec<T::Key>,
}
