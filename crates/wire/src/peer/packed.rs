//! Messages as they stand in a frame.

use std::fmt;

use bytes::Bytes;
use sassafrasspool_core::Error;
use sassafrasspool_core::MAX_BODY_BYTES;
use sassafrasspool_core::Result;
use sassafrasspool_core::Step;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::unfold::unfold;

/// The largest message in bytes, unpacked: a body and what goes with it.
pub const MAX_MESSAGE_BYTES: usize = MAX_BODY_BYTES + 1024 * 1024;

/// Messages from this size on are worth compressing, in bytes.
const COMPRESS_FROM: usize = 256;

/// The compression level: of those that take a few milliseconds for a whole
/// catalogue, the one that packs closest.
const LEVEL: i32 = 3;

/// An encoded message, compressed if that makes it smaller.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
pub enum Packed {
    /// As encoded by `postcard`.
    Plain(Bytes),
    /// The same, compressed by `zstd`.
    Zstd(Bytes),
}

impl Packed {
    /// Encodes a message.
    ///
    /// # Errors
    ///
    /// Fails if it can't be encoded or is larger than [`MAX_MESSAGE_BYTES`].
    pub fn pack<T: Serialize>(message: &T) -> Result<Packed> {
        let plain =
            postcard::to_stdvec(message).map_err(|cause| codec("encode").with_cause(cause))?;
        check_size(plain.len())?;
        if plain.len() < COMPRESS_FROM {
            return Ok(Packed::Plain(plain.into()));
        }
        let small = zstd::bulk::compress(&plain, LEVEL)
            .map_err(|cause| codec("compress").with_cause(cause))?;
        if small.len() < plain.len() {
            Ok(Packed::Zstd(small.into()))
        } else {
            Ok(Packed::Plain(plain.into()))
        }
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// Fails if it is larger than [`MAX_MESSAGE_BYTES`], isn't a `T` or has
    /// bytes after it.
    pub fn unpack<T: DeserializeOwned>(&self) -> Result<T> {
        match self {
            Packed::Plain(bytes) => {
                check_size(bytes.len())?;
                decode(bytes)
            }
            Packed::Zstd(bytes) => decode(&decompress(bytes)?),
        }
    }
}

impl fmt::Debug for Packed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Packed::Plain(bytes) => write!(f, "Plain({} bytes)", bytes.len()),
            Packed::Zstd(bytes) => write!(f, "Zstd({} bytes)", bytes.len()),
        }
    }
}

fn decompress(bytes: &[u8]) -> Result<Vec<u8>> {
    let plain = unfold(bytes, MAX_MESSAGE_BYTES);
    let plain = plain.map_err(|cause| codec("decompress").with_cause(cause))?;
    plain.ok_or_else(too_large)
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    let (message, rest) =
        postcard::take_from_bytes(bytes).map_err(|cause| codec("decode").with_cause(cause))?;
    if !rest.is_empty() {
        let reason = format!("{} bytes after the message", rest.len());
        return Err(Error::new(Step::Codec, reason));
    }
    Ok(message)
}

fn check_size(len: usize) -> Result<()> {
    match len > MAX_MESSAGE_BYTES {
        true => Err(too_large()),
        false => Ok(()),
    }
}

fn too_large() -> Error {
    let reason = format!("a message over {MAX_MESSAGE_BYTES} bytes");
    Error::new(Step::Codec, reason)
}

fn codec(what: &str) -> Error {
    Error::new(Step::Codec, format!("can't {what} a message"))
}
