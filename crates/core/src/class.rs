//! Priority classes of requests, which decide the order when slots are short.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// How urgent a request is compared with others on the same target.
///
/// Values are ordered by urgency; `Critical` is the lowest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Approvals, sign-offs and deductions, which are served first.
    Critical,
    /// Lookups and other interactive requests.
    Standard,
    /// Requests that may wait for hours, such as archive retrievals.
    Background,
}

impl Class {
    /// Every class, most urgent first.
    pub const ALL: [Class; 3] = [Class::Critical, Class::Standard, Class::Background];

    /// The class's name in catalogues, metrics and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Class::Critical => "critical",
            Class::Standard => "standard",
            Class::Background => "background",
        }
    }

    /// The class of that name, if there is one.
    pub fn from_name(name: &str) -> Option<Class> {
        Class::ALL.into_iter().find(|class| class.as_str() == name)
    }

    /// Position among [`Class::ALL`], for tables by class.
    pub const fn index(self) -> usize {
        self as usize
    }
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
