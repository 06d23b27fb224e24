//! Requests, and the transitions until they are handed over.

use crate::AdmissionRequest;
use crate::Admitted;
use crate::Class;
use crate::Deadline;
use crate::HandedOver;
use crate::Limits;
use crate::Permit;
use crate::Reason;
use crate::Received;
use crate::Refusal;
use crate::Step;
use crate::Tick;

/// A request at its target's node.
///
/// # Invariants
///
/// A request in state [`Received`] or [`Admitted`] was not sent to the target.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use sassafrasspool_core::Class;
/// use sassafrasspool_core::Deadline;
/// use sassafrasspool_core::Reason;
/// use sassafrasspool_core::Request;
/// use sassafrasspool_core::Step;
/// use sassafrasspool_core::Tick;
///
/// let deadline = Deadline::within(Tick::ZERO, Duration::from_secs(2));
/// let request = Request::received(Class::Critical, deadline);
/// let refusal = request.refuse(Step::Admission, Reason::Draining);
/// assert_eq!(refusal.to_string(), "not-run at admission: draining");
/// ```
#[derive(Debug)]
pub struct Request<S> {
    pub(super) class: Class,
    pub(super) deadline: Deadline,
    pub(super) state: S,
}

impl<S> Request<S> {
    /// The priority class of the request.
    pub const fn class(&self) -> Class {
        self.class
    }

    /// The deadline of the request.
    pub const fn deadline(&self) -> Deadline {
        self.deadline
    }
}

impl Request<Received> {
    /// A request that just arrived.
    pub const fn received(class: Class, deadline: Deadline) -> Request<Received> {
        Request {
            class,
            deadline,
            state: Received::new(),
        }
    }

    /// The input to admission, with the limits of the catalogue entry.
    pub const fn admission_request<'a>(&self, limits: &'a Limits) -> AdmissionRequest<'a> {
        AdmissionRequest {
            class: self.class,
            deadline: self.deadline,
            limits,
            kind: None,
            soft_deadline: None,
            last_resort: false,
            returning: false,
            slots: None,
            cold_limit: None,
            target_limit: None,
        }
    }

    /// Moves to the admitted state with the slot that admission granted.
    pub fn admit(self, permit: Permit) -> Request<Admitted> {
        Request {
            class: self.class,
            deadline: self.deadline,
            state: Admitted { permit },
        }
    }

    /// Refuses the request as not run.
    pub fn refuse(self, step: Step, reason: Reason) -> Refusal {
        // INVARIANT: A request in this state was not sent.
        Refusal::not_run(step, reason)
    }
}

impl Request<Admitted> {
    /// Marks the request as handed over, right before its first byte is sent.
    ///
    /// # Errors
    ///
    /// Refuses as not run if the deadline has passed.
    pub fn hand_over(self, now: Tick) -> Result<Request<HandedOver>, Refusal> {
        // A process that was paused between admission and this point would run a
        // request whose caller timed out long ago. The clock continues during a pause,
        // so reading it again right before the send detects this.
        if self.deadline.passed(now) {
            self.state.permit.release(now);
            return Err(Refusal::not_run(Step::Forward, Reason::DeadlinePassed));
        }
        let permit = self.state.permit;
        Ok(Request {
            class: self.class,
            deadline: self.deadline,
            state: HandedOver { permit },
        })
    }

    /// Releases the slot and refuses the request as not run.
    pub fn refuse(self, now: Tick, step: Step, reason: Reason) -> Refusal {
        self.state.permit.release(now);
        // INVARIANT: A request in this state was not sent.
        Refusal::not_run(step, reason)
    }
}
