//! Fingerprints of the content of requests.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::Digest;
use crate::Error;
use crate::Result;
use crate::Step;

/// The separator of the two parts of a written [`Content`].
const SEPARATOR: char = '-';

/// A hash over parts of a request.
///
/// It has eight bytes: a node compares requests with some hundred fingerprints at most, so
/// that the expected time to a collision is longer than the life of any deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// The fingerprint of all parts hashed so far.
    fn of(hasher: &blake3::Hasher) -> Fingerprint {
        Fingerprint(Digest::from_hash(&hasher.finalize()).prefix_u64())
    }

    /// Parses the hexadecimal form that [`fmt::Display`] writes.
    fn parse(text: &str) -> Option<Fingerprint> {
        let is_hex = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let n = is_hex.then(|| u64::from_str_radix(text, 16).ok());
        n.flatten().map(Fingerprint)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The content of a request, with its query and without. It doesn't depend on the caller
/// or the request's id.
///
/// A handler may crash on one query of a path, or on the path with any query: a caller that
/// repeats a request may change a part of the query that makes no difference.
///
/// # Example
///
/// ```
/// use sassafrasspool_core::Content;
///
/// let first = Content::of("GET", "desk.example", "/covers/7", Some("page=1"), b"");
/// let second = Content::of("GET", "desk.example", "/covers/7", Some("page=2"), b"");
/// assert_ne!(first.whole(), second.whole());
/// assert_eq!(first.resource(), second.resource());
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Content {
    whole: Fingerprint,
    resource: Fingerprint,
}

impl Content {
    /// The content of a request. If its body isn't buffered as a whole, `body` is the
    /// length of the body if that is known.
    pub fn of(method: &str, host: &str, path: &str, query: Option<&str>, body: &[u8]) -> Content {
        let mut hasher = blake3::Hasher::new();
        for part in [method.as_bytes(), host.as_bytes(), path.as_bytes(), body] {
            hash_part(&mut hasher, part);
        }
        let resource = Fingerprint::of(&hasher);
        let whole = query.map_or(resource, |query| {
            hash_part(&mut hasher, query.as_bytes());
            Fingerprint::of(&hasher)
        });
        Content { whole, resource }
    }

    /// The fingerprint of the whole request.
    pub const fn whole(&self) -> Fingerprint {
        self.whole
    }

    /// The fingerprint of the request without its query.
    pub const fn resource(&self) -> Fingerprint {
        self.resource
    }

    /// Both fingerprints, or one if the request has no query.
    pub fn fingerprints(&self) -> impl Iterator<Item = Fingerprint> + use<> {
        let wider = (self.resource != self.whole).then_some(self.resource);
        std::iter::once(self.whole).chain(wider)
    }

    /// Parses the form that [`fmt::Display`] writes.
    ///
    /// # Errors
    ///
    /// Fails unless `text` is one or two fingerprints.
    pub fn parse(text: &str) -> Result<Content> {
        let (whole, resource) = text.split_once(SEPARATOR).unwrap_or((text, text));
        let parsed = Fingerprint::parse(whole).zip(Fingerprint::parse(resource));
        let (whole, resource) = parsed
            .ok_or_else(|| Error::new(Step::Check, format!("{text:?} is no request's content")))?;
        Ok(Content { whole, resource })
    }
}

impl fmt::Display for Content {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.whole)?;
        match self.resource == self.whole {
            true => Ok(()),
            false => write!(f, "{SEPARATOR}{}", self.resource),
        }
    }
}

/// Hashes one part, preceded by its length, so that different divisions of the same bytes
/// into parts have different hashes.
fn hash_part(hasher: &mut blake3::Hasher, part: &[u8]) {
    hasher.update(&(part.len() as u64).to_le_bytes());
    hasher.update(part);
}
