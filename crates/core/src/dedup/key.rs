//! Request keys.

use std::fmt;

use crate::Digest;
use crate::Error;
use crate::Result;
use crate::ServiceName;
use crate::Step;
use crate::route::Score;

/// The longest key of a caller, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Identifies repeats of one request: the caller's key and the operation.
///
/// The operation is part of it, so that a caller that uses a key for a second
/// operation never receives the answer of the first one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RequestKey(Digest);

impl RequestKey {
    /// The key of a request to `service`, from the caller's `key` and the
    /// operation, such as its method and path.
    ///
    /// # Errors
    ///
    /// Fails if `key` is empty or longer than 256 bytes.
    pub fn new(service: &ServiceName, operation: &str, key: &str) -> Result<RequestKey> {
        if key.is_empty() || key.len() > MAX_KEY_BYTES {
            let message = format!("a request key has 1 to {MAX_KEY_BYTES} bytes");
            return Err(Error::new(Step::Check, message));
        }
        let parts = [service.as_str(), operation, key].map(|part| Digest::of(part.as_bytes()));
        Ok(RequestKey(Digest::of_all(&parts)))
    }

    /// The hash by which the owner is chosen among the endpoints.
    pub(crate) fn score(&self) -> Score {
        Score::of_digest(&self.0)
    }
}

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
