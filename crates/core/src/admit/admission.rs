//! Admission control of one target, as the traffic threads use it.

use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use super::permit::RunEnd;
use super::queue::WaitKey;
use super::service_times::WorkType;
use super::state::Decision;
use super::state::State;
use super::wake::Wake;
use super::wake::Waker;
use crate::AdmissionDecision;
use crate::AdmissionRequest;
use crate::AdmissionSettings;
use crate::Class;
use crate::Error;
use crate::KindName;
use crate::LoadReport;
use crate::Permit;
use crate::Queued;
use crate::Reason;
use crate::Refusal;
use crate::Result;
use crate::Step;
use crate::Tick;

/// Admission control of one target, shared by all traffic threads.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use sassafrasspool_core::Admission;
/// use sassafrasspool_core::AdmissionDecision;
/// use sassafrasspool_core::AdmissionSettings;
/// use sassafrasspool_core::Class;
/// use sassafrasspool_core::Deadline;
/// use sassafrasspool_core::Limits;
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
/// let decision = admission.request_slot(now, &request.admission_request(&limits), || Box::new(drop));
/// let AdmissionDecision::Admitted(permit) = decision else {
///     panic!("all slots are free");
/// };
/// let sent = request.admit(permit).hand_over(now).expect("the deadline is far");
/// sent.begin_answer().finish(Tick::from_millis(9));
/// # Ok::<(), sassafrasspool_core::Error>(())
/// ```
#[derive(Debug, Clone)]
pub struct Admission(Arc<Shared>);

/// The state that admission control, permits and queued requests share.
pub(super) struct Shared(Mutex<State>);

impl Admission {
    /// Creates admission control for a target with `slots` slots.
    ///
    /// # Errors
    ///
    /// Fails with no slots, or with more than 65,535.
    pub fn new(settings: AdmissionSettings, slots: u32) -> Result<Admission> {
        if slots == 0 || slots > u32::from(u16::MAX) {
            return Err(Error::new(Step::Check, "a target has 1 to 65535 slots"));
        }
        let state = State::new(settings, slots);
        Ok(Admission(Arc::new(Shared(Mutex::new(state)))))
    }

    /// Takes into account that a previous process of the node may have admitted requests to the
    /// target until `at`.
    #[must_use]
    pub fn with_predecessor_end(self, at: Tick) -> Admission {
        self.0.lock().set_predecessor_end(at);
        self
    }

    /// Requests a slot.
    ///
    /// `waker` is only called if the request is queued.
    pub fn request_slot(
        &self,
        now: Tick,
        request: &AdmissionRequest<'_>,
        waker: impl FnOnce() -> Waker,
    ) -> AdmissionDecision {
        let mut wakes = Vec::new();
        let decision = self.0.lock().decide(now, request, waker, &mut wakes);
        wakes.into_iter().for_each(Wake::call);
        match decision {
            Decision::Run(work) => AdmissionDecision::Admitted(Permit::new(&self.0, work, now)),
            Decision::Wait(key, expires_at) => {
                AdmissionDecision::Queued(Queued::new(&self.0, key, expires_at))
            }
            Decision::Refuse(refusal) => AdmissionDecision::Refused(refusal),
        }
    }

    /// The refusal that a request would get if it requested a slot now; nothing if it would
    /// be admitted or queued.
    ///
    /// This takes neither a slot nor a place in the queue. A caller that gets a refusal
    /// needn't send the body of its request.
    pub fn predict_refusal(&self, now: Tick, request: &AdmissionRequest<'_>) -> Option<Refusal> {
        self.0.lock().predict_refusal(now, request)
    }

    /// Gives free slots to requests that are queued for a cold target. Returns when its rate
    /// limit admits the next one; nothing if no request waits for that.
    pub fn admit_queued(&self, now: Tick) -> Option<Tick> {
        let mut wakes = Vec::new();
        let next = self.0.lock().admit_queued(now, &self.0, &mut wakes);
        wakes.into_iter().for_each(Wake::call);
        next
    }

    /// The expected wait of a request of that class behind all queued requests that are of
    /// its class or more urgent.
    pub fn expected_wait(&self, class: Class) -> Duration {
        self.0.lock().expected_class_wait(class)
    }

    /// How long a request of that class and kind is expected to wait for a slot and to run.
    pub fn expected_time(&self, now: Tick, class: Class, kind: &KindName) -> Duration {
        self.0.lock().expected_time(now, class, kind)
    }

    /// The load report that answers carry.
    pub fn load(&self) -> LoadReport {
        self.0.lock().load()
    }

    /// How many requests were admitted within the last second.
    pub fn recent_admissions(&self, now: Tick) -> usize {
        self.0.lock().recent_admissions(now)
    }

    /// Refuses new and queued requests from now on; running requests continue.
    pub fn close(&self, reason: Reason) {
        let mut wakes = Vec::new();
        self.0.lock().close(reason, &mut wakes);
        wakes.into_iter().for_each(Wake::call);
    }

    /// Reverts [`Admission::close`] for that reason.
    pub fn open(&self, reason: Reason) {
        self.0.lock().open(reason);
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        // The only foreign code that runs under the lock is the closure that makes a
        // waker. The state is consistent before that: a poisoned lock is still usable.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn release(self: &Arc<Shared>, end: RunEnd, work: WorkType, acquired_at: Tick) {
        let mut wakes = Vec::new();
        self.lock()
            .release(end, work, acquired_at, self, &mut wakes);
        wakes.into_iter().for_each(Wake::call);
    }

    pub(super) fn remove_queued(&self, key: WaitKey) {
        // The waker is dropped after the lock is released.
        let removed = self.lock().remove(key);
        drop(removed);
    }

    pub(super) fn expire_queued(&self, now: Tick, key: WaitKey) -> Option<Refusal> {
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
