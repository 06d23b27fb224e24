//! Attempts that brought no answer.

use http::Request;
use sassafrasspool_core::Failure;
use sassafrasspool_core::Loss;
use sassafrasspool_core::Refusal;

use super::payload::Payload;

/// What is known of the request, and the request itself if not a byte of its
/// body was used up.
///
/// A body that is streamed can only be sent again if it comes back here; one
/// that is held can be sent again anyway.
#[derive(Debug)]
pub(super) struct Missed {
    pub(super) failure: Failure,
    pub(super) unsent: Option<Box<Request<Payload>>>,
}

impl Missed {
    /// A request that was refused and comes back whole.
    pub(super) fn unsent(refusal: Refusal, req: Request<Payload>) -> Missed {
        Missed {
            failure: refusal.into(),
            unsent: Some(Box::new(req)),
        }
    }
}

impl From<Failure> for Missed {
    fn from(failure: Failure) -> Missed {
        Missed {
            failure,
            unsent: None,
        }
    }
}

impl From<Refusal> for Missed {
    fn from(refusal: Refusal) -> Missed {
        Failure::from(refusal).into()
    }
}

impl From<Loss> for Missed {
    fn from(loss: Loss) -> Missed {
        Failure::from(loss).into()
    }
}
