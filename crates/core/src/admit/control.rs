//! Admission as the traffic threads use it.

use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use super::queue::WaitKey;
use super::state::Decision;
use super::state::State;
use super::took::Work;
use super::wake::Wake;
use super::wake::Waker;
use crate::AdmissionSettings;
use crate::Ask;
use crate::Class;
use crate::Error;
use crate::LoadReport;
use crate::Offer;
use crate::Permit;
use crate::Queued;
use crate::Reason;
use crate::Refusal;
use crate::Result;
use crate::Step;
use crate::Tick;

/// Admission beside one target, shared by all traffic threads.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use sassafrasspool_core::Admission;
/// use sassafrasspool_core::AdmissionSettings;
/// use sassafrasspool_core::Class;
/// use sassafrasspool_core::Deadline;
/// use sassafrasspool_core::Limits;
/// use sassafrasspool_core::Offer;
/// use sassafrasspool_core::Request;
/// use sassafrasspool_core::RetryLimits;
/// use sassafrasspool_core::Tick;
///
/// let limits = Limits {
///     rate_per_s: 200,
///     concurrency: 10,
///     deadline: Duration::from_secs(2),
///     retry: RetryLimits::default(),
/// };
/// let admission = Admission::new(AdmissionSettings::default(), 10)?;
/// let now = Tick::from_millis(5);
/// let request = Request::received(Class::Critical, Deadline::within(now, limits.deadline));
/// let offer = admission.offer(now, &request.ask(&limits), || Box::new(drop));
/// let Offer::Admitted(permit) = offer else {
///     panic!("all slots are free");
/// };
/// let sent = request.admit(permit).hand_over(now).expect("the deadline is far");
/// sent.answered().finish(Tick::from_millis(9));
/// # Ok::<(), sassafrasspool_core::Error>(())
/// ```
#[derive(Debug, Clone)]
pub struct Admission(Arc<Shared>);

/// What admission and the permits share.
pub(super) struct Shared(Mutex<State>);

impl Admission {
    /// Admission to a target with `slots`.
    ///
    /// # Errors
    ///
    /// Fails without slots, or with more than 65,535.
    pub fn new(settings: AdmissionSettings, slots: u32) -> Result<Admission> {
        if slots == 0 || slots > u32::from(u16::MAX) {
            return Err(Error::new(Step::Check, "a target has 1 to 65535 slots"));
        }
        let state = State::new(settings, slots);
        Ok(Admission(Arc::new(Shared(Mutex::new(state)))))
    }

    /// Asks for a slot.
    ///
    /// `waker` is only made if the request is to wait.
    pub fn offer(&self, now: Tick, ask: &Ask<'_>, waker: impl FnOnce() -> Waker) -> Offer {
        let mut wakes = Vec::new();
        let decision = self.0.lock().offer(now, ask, waker, &mut wakes);
        wakes.into_iter().for_each(Wake::call);
        match decision {
            Decision::Run(work) => Offer::Admitted(Permit::new(&self.0, work, now)),
            Decision::Wait(key, until) => Offer::Queued(Queued::new(&self.0, key, until)),
            Decision::Refuse(refusal) => Offer::Refused(refusal),
        }
    }

    /// What a request would be told that asked for a slot now, if that is no.
    ///
    /// It takes no slot and no place: who hears of a refusal can keep the body of
    /// its request to itself.
    pub fn foresee(&self, now: Tick, ask: &Ask<'_>) -> Option<Refusal> {
        self.0.lock().foresee(now, ask)
    }

    /// Gives what is free to those who wait for a cold target, and tells when it bears the
    /// next; nothing if nobody waits for that.
    pub fn refill(&self, now: Tick) -> Option<Tick> {
        let mut wakes = Vec::new();
        let next = self.0.lock().refill(now, &self.0, &mut wakes);
        wakes.into_iter().for_each(Wake::call);
        next
    }

    /// How long a request of that class would wait behind all others of it.
    pub fn expected_wait(&self, class: Class) -> Duration {
        self.0.lock().wait_of_class(class)
    }

    /// The load as answers carry it.
    pub fn load(&self) -> LoadReport {
        self.0.lock().load()
    }

    /// Refuses new and waiting requests from now on; what runs goes on.
    pub fn close(&self, reason: Reason) {
        let mut wakes = Vec::new();
        self.0.lock().close(reason, &mut wakes);
        wakes.into_iter().for_each(Wake::call);
    }

    /// Takes back [`Admission::close`] for that reason.
    pub fn open(&self, reason: Reason) {
        self.0.lock().open(reason);
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        // Nothing under the lock calls foreign code but the making of a waker,
        // before which the state is whole: a poisoned lock is still usable.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn release(self: &Arc<Shared>, now: Option<Tick>, work: Work, since: Tick) {
        let mut wakes = Vec::new();
        self.lock().release(now, work, since, self, &mut wakes);
        wakes.into_iter().for_each(Wake::call);
    }

    pub(super) fn leave(&self, key: WaitKey) {
        // The waker is dropped after the lock was given back.
        let gone = self.lock().leave(key);
        drop(gone);
    }

    pub(super) fn expire(&self, now: Tick, key: WaitKey) -> Option<Refusal> {
        self.lock().expire(now, key)
    }
}

impl fmt::Debug for Shared {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Admission")
            .field("load", &self.lock().load())
            .finish()
    }
}
