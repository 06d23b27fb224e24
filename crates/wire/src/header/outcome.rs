//! What is known of a request that got no answer of a target.

/// Whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It was not handed to a target.
    NotRun,
    /// It may have run.
    Unknown,
}

impl Outcome {
    /// The outcome as the header and the body of a refusal have it.
    pub const fn as_str(self) -> &'static str {
        match self {
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }

    /// Reads the header's value; whatever isn't a clear `not-run` is unknown.
    pub fn from_value(value: &[u8]) -> Outcome {
        match value {
            b"not-run" => Outcome::NotRun,
            _ => Outcome::Unknown,
        }
    }
}
