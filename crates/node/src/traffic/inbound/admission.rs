//! Waiting for a slot of the local target.

use std::convert::Infallible;

use sassafrasspool_core::Admission;
use sassafrasspool_core::AdmissionDecision;
use sassafrasspool_core::AdmissionRequest;
use sassafrasspool_core::Permit;
use sassafrasspool_core::Queued;
use sassafrasspool_core::Reason;
use sassafrasspool_core::Refusal;
use sassafrasspool_core::Step;
use tokio::sync::oneshot;

use crate::Clock;

#[cfg(test)]
mod tests;

/// The admission decision on a queued request.
type Decision = Result<Permit, Refusal>;

/// Acquires a slot. A queued request waits at most as long as admission allows, and only
/// while `aborted` is pending. Dropping the future removes the request from the queue.
///
/// # Errors
///
/// Refuses the request as not run, at once if the refusal is certain at once.
pub(in crate::traffic) async fn admit(
    admission: &Admission,
    clock: &Clock,
    request: &AdmissionRequest<'_>,
    aborted: impl Future<Output = Refusal>,
) -> Result<Permit, Refusal> {
    let mut decision_rx = None;
    let decision = admission.request_slot(clock.now(), request, || {
        let (tx, rx) = oneshot::channel::<Decision>();
        decision_rx = Some(rx);
        Box::new(move |decision| {
            // Without a receiver the permit is dropped, which frees the slot.
            let _ = tx.send(decision);
        })
    });
    match (decision, decision_rx) {
        (AdmissionDecision::Admitted(permit), _) => Ok(permit),
        (AdmissionDecision::Refused(refusal), _) => Err(refusal),
        (AdmissionDecision::Queued(queued), Some(rx)) => {
            tokio::select! {
                biased;
                decision = wait(queued, rx, clock) => decision,
                refusal = aborted => Err(refusal),
                never = admit_while_cold(admission, clock) => match never {},
            }
        }
        (AdmissionDecision::Queued(_), None) => Err(queue_timeout()),
    }
}

/// Admits queued requests at the rate that a cold target tolerates, while requests are
/// queued.
async fn admit_while_cold(admission: &Admission, clock: &Clock) -> Infallible {
    while let Some(next) = admission.admit_queued(clock.now()) {
        tokio::time::sleep_until(clock.instant(next).into()).await;
    }
    std::future::pending().await
}

async fn wait(queued: Queued, mut rx: oneshot::Receiver<Decision>, clock: &Clock) -> Decision {
    let until = clock.instant(queued.expires_at());
    match tokio::time::timeout_at(until.into(), &mut rx).await {
        Ok(decision) => decision.unwrap_or_else(|_| Err(queue_timeout())),
        Err(_) => match queued.expire(clock.now()) {
            Some(refusal) => Err(refusal),
            // The decision was sent at the moment at which the wait expired.
            None => rx.await.unwrap_or_else(|_| Err(queue_timeout())),
        },
    }
}

fn queue_timeout() -> Refusal {
    Refusal::not_run(Step::Admission, Reason::QueueTimeout)
}
