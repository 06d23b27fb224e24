//! Failed attempts.

use http::Request;
use sassafrasspool_core::Failure;
use sassafrasspool_core::Loss;
use sassafrasspool_core::Refusal;

use super::payload::Payload;

/// The failure of an attempt, and the request itself if no byte of its body was consumed.
///
/// A request with a streamed body can only be sent again if it is returned here. One with
/// a buffered body can be sent again in any case.
#[derive(Debug)]
pub(super) struct FailedAttempt {
    pub(super) failure: Failure,
    pub(super) unsent: Option<Box<Request<Payload>>>,
}

impl FailedAttempt {
    /// The failure of a request that was refused and is returned complete.
    pub(super) fn unsent(refusal: Refusal, req: Request<Payload>) -> FailedAttempt {
        FailedAttempt {
            failure: refusal.into(),
            unsent: Some(Box::new(req)),
        }
    }
}

impl From<Failure> for FailedAttempt {
    fn from(failure: Failure) -> FailedAttempt {
        FailedAttempt {
            failure,
            unsent: None,
        }
    }
}

impl From<Refusal> for FailedAttempt {
    fn from(refusal: Refusal) -> FailedAttempt {
        Failure::from(refusal).into()
    }
}

impl From<Loss> for FailedAttempt {
    fn from(loss: Loss) -> FailedAttempt {
        Failure::from(loss).into()
    }
}
