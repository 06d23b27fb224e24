//! The identity of a published value: its revision and the digest of its content.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::Digest;
use crate::Revision;

/// The identity of one published value of a stream.
///
/// Two versions with the same revision and different digests are in conflict: the
/// platform published the revision twice, or served damaged content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Version {
    revision: Revision,
    digest: Digest,
}

impl Version {
    /// Creates a version from a revision and a digest.
    pub const fn new(revision: Revision, digest: Digest) -> Version {
        Version { revision, digest }
    }

    /// The platform's revision.
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// This version as one that was read after its epoch had settled.
    pub const fn settled(self) -> Version {
        Version {
            revision: self.revision.settled(),
            ..self
        }
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
