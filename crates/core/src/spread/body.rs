//! Encoded bodies of versions, as they are sent between nodes.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::Delta;
use crate::Document;
use crate::Error;
use crate::Item;
use crate::Result;
use crate::Step;
use crate::Stream;
use crate::Version;

/// The maximum size of an encoded body, in bytes.
pub const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// A version of a stream, as a delta from a base or as a full document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Body {
    /// The stream.
    pub stream: Stream,
    /// The version that results from applying the body.
    pub version: Version,
    /// The only version that the body applies to; absent if it is a full
    /// document.
    pub base: Option<Version>,
    /// The encoded content, not compressed.
    pub bytes: Arc<[u8]>,
}

/// The part of a delta that isn't already in [`Body`].
#[derive(Debug, Serialize, Deserialize)]
#[serde(bound = "")]
struct Change<T: Item> {
    put: Vec<T>,
    remove: Vec<T::Key>,
}

impl Body {
    /// Encodes a full document.
    ///
    /// # Errors
    ///
    /// Fails if the document can't be encoded or exceeds [`MAX_BODY_BYTES`].
    pub fn whole<T: Item>(stream: Stream, held: &Document<T>) -> Result<Body> {
        let items: Vec<&T> = held.iter().collect();
        Ok(Body {
            stream,
            version: held.version(),
            base: None,
            bytes: encode(&items)?,
        })
    }

    /// Encodes a delta.
    ///
    /// # Errors
    ///
    /// Fails if the delta can't be encoded or exceeds [`MAX_BODY_BYTES`].
    pub fn delta<T: Item>(stream: Stream, delta: Delta<T>) -> Result<Body> {
        let change = Change {
            put: delta.put,
            remove: delta.remove,
        };
        Ok(Body {
            stream,
            version: delta.target,
            base: Some(delta.base),
            bytes: encode(&change)?,
        })
    }

    /// Decodes the body and returns the resulting document; a delta is applied
    /// to `held`.
    ///
    /// # Errors
    ///
    /// Fails if the body is too large or can't be decoded, if it is a delta
    /// from another base, or if the result doesn't have the digest of its
    /// version.
    pub fn apply_to<T: Item>(&self, held: Option<&Document<T>>) -> Result<Document<T>> {
        check_size(self.bytes.len())?;
        let Some(base) = self.base else {
            let items: Vec<T> = decode(&self.bytes)?;
            return Document::new(self.version.revision(), items)?.verify_version(self.version);
        };
        let Some(held) = held else {
            let reason = format!("delta from {base}, but no version is held");
            return Err(Error::new(Step::Delta, reason));
        };
        let change: Change<T> = decode(&self.bytes)?;
        held.apply(&Delta {
            base,
            target: self.version,
            put: change.put,
            remove: change.remove,
        })
    }
}

fn encode<V: Serialize>(value: &V) -> Result<Arc<[u8]>> {
    let bytes = postcard::to_stdvec(value)
        .map_err(|cause| Error::new(Step::Codec, "body can't be encoded").with_cause(cause))?;
    check_size(bytes.len())?;
    Ok(Arc::from(bytes))
}

fn decode<'a, V: Deserialize<'a>>(bytes: &'a [u8]) -> Result<V> {
    postcard::from_bytes(bytes)
        .map_err(|cause| Error::new(Step::Codec, "body can't be decoded").with_cause(cause))
}

fn check_size(len: usize) -> Result<()> {
    if len > MAX_BODY_BYTES {
        let reason = format!("body has {len} bytes, at most {MAX_BODY_BYTES} are allowed");
        return Err(Error::new(Step::Codec, reason));
    }
    Ok(())
}
