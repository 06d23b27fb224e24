//! The body of an answer, by which a caller checks that it received the
//! complete answer to its own request.

use blake3::Hasher;
use bytes::Bytes;

/// Returns `len` bytes that only the request id determines. No two places of one
/// pattern and no two ids share a sequence of bytes, so that cut, swapped or
/// repeated chunks are detected.
///
/// # Example
///
/// ```
/// use sassafrasspool_standin::target::answer_pattern;
///
/// let whole = answer_pattern("r-1", 100);
/// assert_eq!(answer_pattern("r-1", 40), whole[..40]);
/// assert_ne!(answer_pattern("r-2", 100), whole);
/// ```
pub fn answer_pattern(id: &str, len: usize) -> Vec<u8> {
    let mut buf = vec![0; len];
    fill_answer_pattern(id, &mut buf);
    buf
}

/// Returns the complete answer body for request `id` with `len` bytes of pattern:
/// the id, a line feed and the pattern.
pub fn answer_body(id: &str, len: usize) -> Bytes {
    let mut buf = Vec::with_capacity(id.len() + 1 + len);
    buf.extend_from_slice(id.as_bytes());
    buf.push(b'\n');
    let head = buf.len();
    buf.resize(head + len, 0);
    fill_answer_pattern(id, &mut buf[head..]);
    Bytes::from(buf)
}

fn fill_answer_pattern(id: &str, buf: &mut [u8]) {
    let mut hasher = Hasher::new();
    hasher.update(id.as_bytes());
    hasher.finalize_xof().fill(buf);
}
