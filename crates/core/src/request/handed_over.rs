//! The state in which nothing can be taken back.

use crate::Answered;
use crate::Loss;
use crate::LossCause;
use crate::Permit;
use crate::Reason;
use crate::Refusal;
use crate::Request;
use crate::Step;
use crate::Tick;

/// The request was given to a connection to the target.
///
/// It ends in an answer or a [`Loss`]. The one way back to a refusal asks for
/// the proof that the connection took nothing:
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

/// The proof that a connection took no byte of a request.
#[derive(Debug)]
pub struct NothingSent(());

impl NothingSent {
    /// The proof by the count of all bytes that the connection's socket took,
    /// before the request was given to it and after it failed.
    ///
    /// # Example
    ///
    /// ```
    /// use sassafrasspool_core::NothingSent;
    ///
    /// assert!(NothingSent::by_count(512, 512).is_some());
    /// assert!(NothingSent::by_count(512, 513).is_none());
    /// ```
    pub fn by_count(before: u64, after: u64) -> Option<NothingSent> {
        (before == after).then_some(NothingSent(()))
    }
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

    /// The connection failed before it took a byte: the request was not run.
    pub fn take_back(self, now: Tick, proof: NothingSent) -> Refusal {
        let NothingSent(()) = proof;
        self.state.permit.release(now);
        // INVARIANT: The proof says that the target can't have seen any of it.
        Refusal::not_run(Step::Forward, Reason::Connect)
    }

    /// The target itself said in its answer that it did not run the request.
    ///
    /// The caller of this has read that in an answer to this very request.
    pub fn declined(self, now: Tick, reason: Reason) -> Refusal {
        self.state.permit.release(now);
        // INVARIANT: Only the target knows, and it says that it wasn't run.
        Refusal::not_run(Step::Forward, reason)
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
