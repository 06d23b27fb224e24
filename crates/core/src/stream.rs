//! The two inputs that are distributed. They are never mixed: each stream has its
//! own revisions, which only grow.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// One of the two kinds of values that the platform publishes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stream {
    /// The operators' catalogue.
    Catalogue,
    /// The platform's lagging list of live and leaving instances.
    Instances,
}

impl Stream {
    /// Both streams, in a fixed order.
    pub const ALL: [Stream; 2] = [Stream::Catalogue, Stream::Instances];

    /// The stream's name in logs, metrics and paths.
    pub const fn as_str(self) -> &'static str {
        match self {
            Stream::Catalogue => "catalogue",
            Stream::Instances => "instances",
        }
    }
}

impl fmt::Display for Stream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
