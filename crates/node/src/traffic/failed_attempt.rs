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
pub(super) struct Missed {
    pub(super) failure: Failure,
    pub(super) unsent: Option<Box<Request<Payload>>>,
}

impl Missed {
    /// The failure of a request that was refused and is returned complete.
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
