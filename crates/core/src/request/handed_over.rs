//! The states of a request after it was handed over to its target.

use crate::Answered;
use crate::Loss;
use crate::LossCause;
use crate::Permit;
use crate::Reason;
use crate::Refusal;
use crate::Request;
use crate::Step;
use crate::Tick;

/// The state of a request that was passed to a connection to the target.
///
/// It ends in an answer or a [`Loss`]. It can be refused only with the proof that the
/// connection sent nothing, or after the target answered that it did not run it:
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

/// The proof that a connection sent no byte of a request.
#[derive(Debug)]
pub struct NothingSent(());

impl NothingSent {
    /// The proof from the count of all bytes that were written to the connection's
    /// socket, before the request was passed to it and after the connection failed.
    ///
    /// # Example
    ///
    /// ```
    /// use sassafrasspool_core::NothingSent;
    ///
    /// assert!(NothingSent::from_byte_counts(512, 512).is_some());
    /// assert!(NothingSent::from_byte_counts(512, 513).is_none());
    /// ```
    pub fn from_byte_counts(before: u64, after: u64) -> Option<NothingSent> {
        (before == after).then_some(NothingSent(()))
    }
}

impl Request<HandedOver> {
    /// Records that the target began its answer.
    pub fn begin_answer(self) -> Request<Answered> {
        let permit = self.state.permit;
        Request {
            class: self.class,
            deadline: self.deadline,
            state: Answered { permit },
        }
    }

    /// Refuses the request as not run, because the connection failed before it sent a byte.
    pub fn refuse_unsent(self, now: Tick, proof: NothingSent) -> Refusal {
        let NothingSent(()) = proof;
        self.state.permit.release(now);
        // INVARIANT: The proof shows that the target received nothing of the request.
        Refusal::not_run(Step::Forward, Reason::Connect)
    }

    /// Refuses the request because the target answered that it did not run it.
    ///
    /// Call this only after reading such an answer to this same request.
    pub fn refuse_by_target(self, now: Tick, reason: Reason) -> Refusal {
        self.state.permit.release(now);
        // INVARIANT: Only the target can state that it did not run the request, and it did.
        Refusal::not_run(Step::Forward, reason)
    }

    /// Ends the request without an answer; its outcome is unknown.
    pub fn lose(self, now: Tick, cause: LossCause) -> Loss {
        self.state.permit.release_unanswered(now);
        Loss::new(Step::Forward, cause)
    }
}

impl Request<Answered> {
    /// Ends the request after its whole answer was forwarded.
    pub fn finish(self, now: Tick) {
        self.state.permit.release(now);
    }

    /// Ends the request after its answer was truncated, so that the caller must get an error.
    pub fn cut_short(self, now: Tick, cause: LossCause) -> Loss {
        self.state.permit.release(now);
        Loss::new(Step::Forward, cause)
    }
}
