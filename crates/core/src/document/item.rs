//! The items of a document.

use std::fmt;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Digest;
use crate::Error;
use crate::Result;
use crate::Step;

/// A value with a key and an encoding that is identical on every node.
pub trait Item: Clone + fmt::Debug + PartialEq + Serialize + DeserializeOwned {
    /// The type of the key, which is unique within a document.
    type Key: Clone + fmt::Debug + fmt::Display + Ord + Serialize + DeserializeOwned;

    /// The key of this item.
    fn key(&self) -> Self::Key;

    /// The digest of the item's canonical encoding.
    ///
    /// # Errors
    ///
    /// Fails if the item can't be encoded.
    fn digest(&self) -> Result<Digest> {
        let bytes = postcard::to_stdvec(self).map_err(|cause| {
            Error::new(Step::Codec, format!("item {} can't be encoded", self.key()))
                .with_cause(cause)
        })?;
        Ok(Digest::of(&bytes))
    }
}
