//! Path prefixes of routes.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::Error;
use crate::Result;
use crate::Step;

/// The longest path of a route in bytes.
const MAX_PATH_BYTES: usize = 256;

/// A path prefix. It matches itself and everything below it, by whole segments; a
/// prefix that ends with `/` matches only paths that begin with it.
///
/// # Invariants
///
/// Begins with `/`, has no empty, `.` or `..` segment, no query and at most
/// 256 printable ASCII bytes.
///
/// # Example
///
/// ```
/// use sassafrasspool_core::RoutePath;
///
/// let path = RoutePath::new("/adjuster")?;
/// assert!(path.matches("/adjuster/approvals"));
/// assert!(!path.matches("/adjusters"));
/// let below = RoutePath::new("/adjuster/")?;
/// assert!(below.matches("/adjuster/approvals"));
/// assert!(!below.matches("/adjuster"));
/// # Ok::<(), sassafrasspool_core::Error>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "Arc<str>")]
pub struct RoutePath(Arc<str>);

impl RoutePath {
    /// Validates a path prefix.
    ///
    /// # Errors
    ///
    /// Fails if the text violates an invariant of the type.
    pub fn new(path: &str) -> Result<RoutePath> {
        RoutePath::try_from(Arc::from(path))
    }

    /// The path as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Whether this prefix matches the path of a request, which has no query.
    pub fn matches(&self, path: &str) -> bool {
        if self.0.ends_with('/') {
            return path.starts_with(&*self.0);
        }
        match path.strip_prefix(&*self.0) {
            Some(rest) => rest.is_empty() || rest.starts_with('/'),
            None => false,
        }
    }
}

impl TryFrom<Arc<str>> for RoutePath {
    type Error = Error;

    fn try_from(path: Arc<str>) -> Result<RoutePath> {
        check_path(&path)?;
        // INVARIANT: The path was checked above.
        Ok(RoutePath(path))
    }
}

impl fmt::Display for RoutePath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

fn check_path(path: &str) -> Result<()> {
    let reject = |why: &str| Err(Error::new(Step::Check, format!("path {path:?} {why}")));
    if path.len() > MAX_PATH_BYTES {
        return reject("is longer than 256 bytes");
    }
    let Some(below) = path.strip_prefix('/') else {
        return reject("must begin with /");
    };
    if !path
        .bytes()
        .all(|byte| byte.is_ascii_graphic() && !matches!(byte, b'?' | b'#'))
    {
        return reject("may only contain printable ASCII without ? and #");
    }
    let is_forbidden = |segment: &str| matches!(segment, "" | "." | "..");
    let segments = below.strip_suffix('/').unwrap_or(below);
    if below == "/" || (!segments.is_empty() && segments.split('/').any(is_forbidden)) {
        return reject("has an empty, . or .. segment");
    }
    Ok(())
}

/// Lets a map keyed by path be queried with a `&str`.
impl Borrow<str> for RoutePath {
    fn borrow(&self) -> &str {
        &self.0
    }
}
