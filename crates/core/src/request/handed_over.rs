//! The state in which nothing can be taken back.

use crate::Answered;
use crate::Loss;
use crate::LossCause;
use crate::Permit;
use crate::Request;
use crate::Step;
use crate::Tick;

/// The request was sent to the target, wholly or in part.
///
/// It ends in an answer or a [`Loss`]. There is no way back to a refusal:
///
/// ```compile_fail
/// use sassafrasspool_core::HandedOver;
/// use sassafrasspool_core::Reason;
/// use sassafrasspool_core::Request;
/// use sassafrasspool_core::Step;
///
/// fn take_back(request: Request<HandedOver>) {
///     let _ = request.refuse(Step::Admission, Reason::QueueFull);
/// }
/// ```
#[derive(Debug)]
pub struct HandedOver {
    pub(super) permit: Permit,
}

impl Request<HandedOver> {
    /// The target began its answer.
    pub fn answered(self) -> Request<Answered> {
        let permit = self.state.permit;
        Request {
            class: self.class,
            deadline: self.deadline,
            state: Answered { permit },
        }
    }

    /// No answer came, and what became of the request is unknown.
    pub fn lost(self, now: Tick, cause: LossCause) -> Loss {
        self.state.permit.release(now);
        Loss::new(Step::Forward, cause)
    }
}

impl Request<Answered> {
    /// The whole answer was sent on.
    pub fn finish(self, now: Tick) {
        self.state.permit.release(now);
    }

    /// The answer was cut short, so that the caller must see an error.
    pub fn cut(self, now: Tick, cause: LossCause) -> Loss {
        self.state.permit.release(now);
        Loss::new(Step::Forward, cause)
    }
}
