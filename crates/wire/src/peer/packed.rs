//! Encoding and compression of the messages in a frame.

use std::fmt;

use bytes::Bytes;
use sassafrasspool_core::Error;
use sassafrasspool_core::MAX_BODY_BYTES;
use sassafrasspool_core::Result;
use sassafrasspool_core::Step;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::decompress::decompress_up_to;

/// The largest decompressed message in bytes: a body and the fields around it.
pub const MAX_MESSAGE_BYTES: usize = MAX_BODY_BYTES + 1024 * 1024;

/// The smallest message that is compressed, in bytes; smaller ones gain too little.
const MIN_COMPRESSED_BYTES: usize = 256;

/// The `zstd` level: the one with the best ratio among those that compress a whole
/// catalogue in a few milliseconds.
const COMPRESSION_LEVEL: i32 = 3;

/// An encoded message, which is compressed if that makes it smaller.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
pub enum Packed {
    /// Encoded by `postcard`.
    Plain(Bytes),
    /// Encoded by `postcard` and compressed by `zstd`.
    Zstd(Bytes),
}

impl Packed {
    /// Encodes a message.
    ///
    /// # Errors
    ///
    /// Fails if the message can't be encoded or is larger than [`MAX_MESSAGE_BYTES`].
    pub fn pack<T: Serialize>(message: &T) -> Result<Packed> {
        let plain = postcard::to_stdvec(message)
            .map_err(|cause| codec_error("encode").with_cause(cause))?;
        check_size(plain.len())?;
        if plain.len() < MIN_COMPRESSED_BYTES {
            return Ok(Packed::Plain(plain.into()));
        }
        let compressed = zstd::bulk::compress(&plain, COMPRESSION_LEVEL)
            .map_err(|cause| codec_error("compress").with_cause(cause))?;
        if compressed.len() < plain.len() {
            Ok(Packed::Zstd(compressed.into()))
        } else {
            Ok(Packed::Plain(plain.into()))
        }
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// Fails if the message is larger than [`MAX_MESSAGE_BYTES`], doesn't decode as a `T`
    /// or is followed by further bytes.
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
    let plain = decompress_up_to(bytes, MAX_MESSAGE_BYTES);
    let plain = plain.map_err(|cause| codec_error("decompress").with_cause(cause))?;
    plain.ok_or_else(too_large)
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    let (message, rest) = postcard::take_from_bytes(bytes)
        .map_err(|cause| codec_error("decode").with_cause(cause))?;
    if !rest.is_empty() {
        let reason = format!("{} trailing bytes after the message", rest.len());
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
    let reason = format!("message larger than {MAX_MESSAGE_BYTES} bytes");
    Error::new(Step::Codec, reason)
}

fn codec_error(operation: &str) -> Error {
    Error::new(Step::Codec, format!("can't {operation} a message"))
}
