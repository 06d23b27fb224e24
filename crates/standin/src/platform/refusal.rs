//! Why a publication was refused.

use std::fmt;

use http::StatusCode;
use sassafrasspool_core::Error;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::Revision;
use sassafrasspool_core::Step;

use super::MAX_VALUE_BYTES;

/// A change that the platform did not take; nothing of it is published.
#[derive(Debug)]
pub(super) enum Refusal {
    /// The value has more bytes than a value may have.
    TooLarge(usize),
    /// The forced revision isn't above the newest one.
    RevisionNotAbove(Revision),
    /// The list has no such instance.
    UnknownInstance(InstanceId),
    /// The revision is no longer kept, or never was.
    UnknownRevision(Revision),
    /// The body can't be read.
    Malformed(String),
}

impl Refusal {
    /// The status that the admin port answers with.
    pub(super) fn status(&self) -> StatusCode {
        match self {
            Refusal::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::RevisionNotAbove(_) => StatusCode::CONFLICT,
            Refusal::UnknownInstance(_) | Refusal::UnknownRevision(_) => StatusCode::NOT_FOUND,
            Refusal::Malformed(_) => StatusCode::BAD_REQUEST,
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refusal::TooLarge(len) => {
                write!(
                    f,
                    "a value has at most {MAX_VALUE_BYTES} bytes, this has {len}"
                )
            }
            Refusal::RevisionNotAbove(newest) => {
                write!(f, "a revision must be above the newest one, {newest}")
            }
            Refusal::UnknownInstance(id) => write!(f, "no instance {id} in the list"),
            Refusal::UnknownRevision(revision) => write!(f, "revision {revision} isn't kept"),
            Refusal::Malformed(reason) => f.write_str(reason),
        }
    }
}

impl From<Refusal> for Error {
    fn from(refusal: Refusal) -> Error {
        Error::new(Step::Admin, refusal.to_string())
    }
}
