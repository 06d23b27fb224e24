//! Unfolding what was compressed, up to a bound.

use std::io;
use std::io::Read;

/// Unfolds bytes compressed by `zstd`; `None` if there are more than `limit`.
///
/// A few compressed kilobytes can unfold to gigabytes, which would end this
/// process. Reading stops one byte after `limit`, however much is still to
/// come.
///
/// # Errors
///
/// Fails if they aren't what `zstd` writes.
pub(crate) fn unfold(bytes: &[u8], limit: usize) -> io::Result<Option<Vec<u8>>> {
    let reader = zstd::stream::read::Decoder::with_buffer(bytes)?;
    let mut plain = Vec::new();
    reader.take(limit as u64 + 1).read_to_end(&mut plain)?;
    Ok((plain.len() <= limit).then_some(plain))
}
