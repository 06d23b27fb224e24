//! Host names of routes.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::Error;
use crate::Result;
use crate::Step;

/// The longest host name in bytes, as in DNS.
const MAX_HOST_BYTES: usize = 253;

/// A host name without a port.
///
/// # Invariants
///
/// 1 to 253 bytes of `a-z`, `0-9`, `-`, `_` and `.`.
///
/// # Example
///
/// ```
/// use sassafrasspool_core::HostName;
///
/// let host = HostName::new("claims.example")?;
/// assert!(host.matches("Claims.example:8080"));
/// assert!(!host.matches("example"));
/// # Ok::<(), sassafrasspool_core::Error>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "Arc<str>")]
pub struct HostName(Arc<str>);

impl HostName {
    /// Validates a host name.
    ///
    /// # Errors
    ///
    /// Fails if it is empty, too long or contains a byte that host names may not contain.
    pub fn new(host: &str) -> Result<HostName> {
        HostName::try_from(Arc::from(host))
    }

    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Whether a request's host, which may have a port, is this host; ASCII case is ignored.
    pub fn matches(&self, host: &str) -> bool {
        strip_port(host).eq_ignore_ascii_case(&self.0)
    }
}

/// A request's host without its port, if it has one.
pub(crate) fn strip_port(host: &str) -> &str {
    host.split_once(':').map_or(host, |(name, _)| name)
}

impl TryFrom<Arc<str>> for HostName {
    type Error = Error;

    fn try_from(host: Arc<str>) -> Result<HostName> {
        let is_allowed = |byte: u8| {
            byte.is_ascii_lowercase() || byte.is_ascii_digit() || matches!(byte, b'-' | b'_' | b'.')
        };
        if host.is_empty() || host.len() > MAX_HOST_BYTES || !host.bytes().all(is_allowed) {
            let reason = format!("{host:?} is not a host name in lower case");
            return Err(Error::new(Step::Check, reason));
        }
        // INVARIANT: The name was checked above.
        Ok(HostName(host))
    }
}

impl fmt::Display for HostName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Lets a map keyed by host be queried with a `&str`.
impl Borrow<str> for HostName {
    fn borrow(&self) -> &str {
        &self.0
    }
}
