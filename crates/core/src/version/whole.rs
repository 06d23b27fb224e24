//! A revision with the digest of its content.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::Digest;
use crate::Revision;

/// What identifies one published value of a stream.
///
/// Two versions of one revision with different digests are a conflict: the
/// platform published a revision twice, or served damaged content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Version {
    revision: Revision,
    digest: Digest,
}

impl Version {
    /// Puts a revision and a digest together.
    pub const fn new(revision: Revision, digest: Digest) -> Version {
        Version { revision, digest }
    }

    /// The platform's revision.
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// The digest of the content.
    pub const fn digest(&self) -> Digest {
        self.digest
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.revision, self.digest)
    }
}
