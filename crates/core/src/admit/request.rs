//! A request to admission control, and the decision on it.

use std::time::Duration;

use crate::Class;
use crate::Deadline;
use crate::KindName;
use crate::Limits;
use crate::Permit;
use crate::Queued;
use crate::Refusal;
use crate::RequestRate;
use crate::Tick;

/// A request as admission control sees it.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionRequest<'a> {
    /// The priority of the request.
    pub class: Class,
    /// The moment until which the request may run.
    pub deadline: Deadline,
    /// The limits of its catalogue entry, from the snapshot that the request pins.
    pub limits: &'a Limits,
    /// The kind of the request, if service times are averaged by kind.
    pub kind: Option<&'a KindName>,
    /// The soft deadline: the moment until which the answer is worth most to the caller.
    pub soft_deadline: Option<Tick>,
    /// Whether this target is the last resort: no other target is asked after it. The
    /// request is then queued even if its answer is expected after the soft deadline.
    pub last_resort: bool,
    /// Whether the caller was refused before and returns at the time that it was told. The
    /// request then goes before newcomers of its class.
    pub returning: bool,
    /// The target's slots according to the instance list, if it is listed.
    pub slots: Option<u32>,
    /// The rate limit while the target is cold, if it is.
    pub cold_limit: Option<ColdLimit>,
    /// The rate limit that the target states for all nodes together, if it does.
    pub target_limit: Option<RequestRate>,
}

/// The rate limit on requests that start at a cold target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdLimit {
    /// Sustained rate in requests a second.
    pub per_s: u32,
    /// For how long unused rate accumulates.
    pub burst: Duration,
    /// The moment at which the limit ends.
    pub until: Tick,
}

impl ColdLimit {
    /// The most requests that may start within a second, at least one.
    pub(super) fn max_per_second(&self) -> usize {
        let burst = Duration::from_secs(1).saturating_add(self.burst);
        let micros = u128::from(self.per_s) * burst.as_micros();
        let requests = micros.div_ceil(Duration::from_secs(1).as_micros()).max(1);
        usize::try_from(requests).unwrap_or(usize::MAX)
    }
}

/// The decision of admission control.
#[derive(Debug)]
pub enum AdmissionDecision {
    /// The request runs now.
    Admitted(Permit),
    /// The request waits. Its waker is called once, unless the [`Queued`] is dropped first.
    Queued(Queued),
    /// The request was not run. This is final.
    Refused(Refusal),
}
