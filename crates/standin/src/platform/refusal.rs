//! The reasons for refusing a publication.

use std::fmt;

use http::StatusCode;
use sassafrasspool_core::Error;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::Revision;
use sassafrasspool_core::Step;

use super::MAX_VALUE_BYTES;

/// A refused change; nothing of it is published.
#[derive(Debug)]
pub(super) enum Refusal {
    /// The value has this many bytes, more than [`MAX_VALUE_BYTES`].
    TooLarge(usize),
    /// The forced revision isn't above this newest one.
    RevisionNotAbove(Revision),
    /// The list doesn't contain the instance.
    UnknownInstance(InstanceId),
    /// The revision is no longer kept, or was never published.
    UnknownRevision(Revision),
    /// The body can't be encoded or decoded, for this reason.
    Malformed(String),
}

impl Refusal {
    /// The HTTP status of the answer on the admin port.
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
