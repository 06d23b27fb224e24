//! Decompression with a size limit.

use std::io;
use std::io::Read;

/// Decompresses `zstd` data; `None` if the result is larger than `limit` bytes.
///
/// A few compressed kilobytes can expand to gigabytes, which would exhaust the memory
/// of this process. Reading stops one byte after `limit`, whatever the full size is.
///
/// # Errors
///
/// Fails if `bytes` isn't valid `zstd` data.
pub(crate) fn decompress_up_to(bytes: &[u8], limit: usize) -> io::Result<Option<Vec<u8>>> {
    let reader = zstd::stream::read::Decoder::with_buffer(bytes)?;
    let mut plain = Vec::new();
    reader.take(limit as u64 + 1).read_to_end(&mut plain)?;
    Ok((plain.len() <= limit).then_some(plain))
}
