//! The outcomes of a request without an answer.

use std::fmt;

/// What is known about a request that got no answer from its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// It is proved that no target has run it.
    NotRun,
    /// It may have run, at most once.
    Unknown,
}

impl Outcome {
    /// The outcome's name in headers, metrics and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }

    /// The outcome of that name, if there is one.
    pub fn from_name(name: &str) -> Option<Outcome> {
        let both = [Outcome::NotRun, Outcome::Unknown];
        both.into_iter().find(|outcome| outcome.as_str() == name)
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
