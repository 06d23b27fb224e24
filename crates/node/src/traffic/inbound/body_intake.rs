//! Receives the body of a request before the request asks for a slot.

use std::time::Duration;

use http::Request;
use sassafrasspool_core::AdmissionRequest;
use sassafrasspool_core::Reason;
use sassafrasspool_core::Refusal;
use sassafrasspool_core::Step;
use tokio::sync::Semaphore;
use tokio::sync::SemaphorePermit;

use crate::traffic::failed_attempt::FailedAttempt;
use crate::traffic::hub::Hub;
use crate::traffic::payload::Payload;

/// Slots of the target for each long body that may be received at once. More bodies
/// would share the same link, so that all of them would arrive later.
const SLOTS_PER_BODY: u32 = 2;

/// Delay before a retry at a target whose node already receives as many long bodies as it
/// may: about the time that one body takes on the slowest links.
const UPLOAD_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Bounds the long bodies for the local target that are received at once.
#[derive(Debug)]
pub(in crate::traffic) struct UploadLimiter(Semaphore);

impl UploadLimiter {
    /// The bound for a target with `slots` slots by the settings; no body is received yet.
    pub(in crate::traffic) fn new(slots: u32) -> UploadLimiter {
        let max_bodies = (slots / SLOTS_PER_BODY).max(1);
        UploadLimiter(Semaphore::new(usize::try_from(max_bodies).unwrap_or(1)))
    }

    /// Permits the receipt of one more long body until the returned permit is dropped.
    ///
    /// # Errors
    ///
    /// Refuses the request as not run, with a retry delay, if the bound is reached.
    pub(in crate::traffic) fn try_acquire(&self) -> Result<SemaphorePermit<'_>, Refusal> {
        let permit = self.0.try_acquire();
        permit.map_err(|_| refuse(Reason::QueueFull).with_retry_after(UPLOAD_RETRY_AFTER))
    }
}

/// Receives the body of a request from another node, unless the body is too large to be
/// buffered.
///
/// A body that arrives while its request holds a slot occupies the slot for as long as
/// the link takes. The target would then have capacity for work, but no free slot. A
/// request that would be refused is refused before its body is read.
///
/// # Errors
///
/// Refuses the request as not run.
pub(in crate::traffic) async fn receive_body(
    hub: &Hub,
    admission_request: &AdmissionRequest<'_>,
    req: Request<Payload>,
) -> Result<Request<Payload>, FailedAttempt> {
    if req.body().streamed_bytes().is_none() {
        return Ok(req);
    }
    let clock = hub.shared.clock();
    if let Some(refusal) = hub
        .admission
        .predict_refusal(clock.now(), admission_request)
    {
        return Err(FailedAttempt::unsent(refusal, req));
    }
    // A body that fits into the upload window arrives with the head of the request.
    let _permit = match req.body().is_short() {
        true => None,
        false => match hub.uploads.try_acquire() {
            Ok(permit) => Some(permit),
            Err(refusal) => return Err(FailedAttempt::unsent(refusal, req)),
        },
    };
    let until = clock.instant(admission_request.deadline.tick());
    let (parts, body) = req.into_parts();
    match tokio::time::timeout_at(until.into(), body.buffer(&hub.body_memory)).await {
        Ok(Ok(body)) => Ok(Request::from_parts(parts, body)),
        // The sending node aborted the request and receives no answer.
        Ok(Err(_)) => Err(refuse(Reason::CallerGone).into()),
        Err(_) => Err(refuse(Reason::DeadlinePassed).into()),
    }
}

fn refuse(reason: Reason) -> Refusal {
    Refusal::not_run(Step::Admission, reason)
}
