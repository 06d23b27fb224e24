//! Versions of the streams in the form that operators read.

use std::fmt;

use sassafrasspool_core::Version;
use serde::Deserialize;
use serde::Serialize;

/// A version, with its digest in hexadecimal.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct VersionInfo {
    /// The epoch of the revision; 0 if the platform reports none, and then left out.
    #[serde(default, skip_serializing_if = "is_first_epoch")]
    pub epoch: u64,
    /// The number of the platform's revision, which is unique within its epoch.
    pub revision: u64,
    /// The digest of the content.
    pub digest: String,
}

fn is_first_epoch(epoch: &u64) -> bool {
    *epoch == 0
}

impl From<Version> for VersionInfo {
    fn from(version: Version) -> VersionInfo {
        VersionInfo {
            epoch: version.revision().epoch().get(),
            revision: version.revision().get(),
            digest: version.digest().to_string(),
        }
    }
}

impl fmt::Display for VersionInfo {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.epoch {
            0 => write!(f, "{}-{}", self.revision, self.digest),
            epoch => write!(f, "{epoch}:{}-{}", self.revision, self.digest),
        }
    }
}

/// One version of each stream, if there is one.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamVersions {
    /// The catalogue's version.
    pub catalogue: Option<VersionInfo>,
    /// The instance list's version.
    pub instances: Option<VersionInfo>,
}
