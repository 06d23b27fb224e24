//! Hosts that routes are bound to.

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

/// The host that a request names, without a port.
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
/// assert!(host.is_named_by("Claims.example:8080"));
/// assert!(!host.is_named_by("example"));
/// # Ok::<(), sassafrasspool_core::Error>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "Arc<str>")]
pub struct HostName(Arc<str>);

impl HostName {
    /// Checks and takes a host name.
    ///
    /// # Errors
    ///
    /// Fails if it is empty, too long or has a byte that host names don't have.
    pub fn new(host: &str) -> Result<HostName> {
        HostName::try_from(Arc::from(host))
    }

    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Whether a request's host, which may have a port, is this one.
    pub fn is_named_by(&self, host: &str) -> bool {
        without_port(host).eq_ignore_ascii_case(&self.0)
    }
}

/// The name in a request's host, which may have a port.
pub(crate) fn without_port(host: &str) -> &str {
    host.split_once(':').map_or(host, |(name, _)| name)
}

impl TryFrom<Arc<str>> for HostName {
    type Error = Error;

    fn try_from(host: Arc<str>) -> Result<HostName> {
        let fits = |byte: u8| {
            byte.is_ascii_lowercase() || byte.is_ascii_digit() || matches!(byte, b'-' | b'_' | b'.')
        };
        if host.is_empty() || host.len() > MAX_HOST_BYTES || !host.bytes().all(fits) {
            let reason = format!("{host:?} is no host name in lower case");
            return Err(Error::new(Step::Check, reason));
        }
        // INVARIANT: The name was just checked.
        Ok(HostName(host))
    }
}

impl fmt::Display for HostName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Lets a map by host be asked with text.
impl Borrow<str> for HostName {
    fn borrow(&self) -> &str {
        &self.0
    }
}
