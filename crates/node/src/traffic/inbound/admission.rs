//! Waiting for a slot beside the target.

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

/// What a queued request is told.
type Verdict = Result<Permit, Refusal>;

/// Gets a slot, or waits for one as long as admission allows and `barred` is pending;
/// dropping the future leaves the queue.
///
/// # Errors
///
/// Refuses as not run, at once if that can be known at once.
pub(in crate::traffic) async fn admit(
    admission: &Admission,
    clock: &Clock,
    ask: &AdmissionRequest<'_>,
    barred: impl Future<Output = Refusal>,
) -> Result<Permit, Refusal> {
    let mut told = None;
    let offer = admission.request_slot(clock.now(), ask, || {
        let (tx, rx) = oneshot::channel::<Verdict>();
        told = Some(rx);
        Box::new(move |verdict| {
            // A receiver that is gone drops the permit, which frees the slot.
            let _ = tx.send(verdict);
        })
    });
    match (offer, told) {
        (AdmissionDecision::Admitted(permit), _) => Ok(permit),
        (AdmissionDecision::Refused(refusal), _) => Err(refusal),
        (AdmissionDecision::Queued(queued), Some(rx)) => {
            tokio::select! {
                biased;
                told = wait(queued, rx, clock) => told,
                refusal = barred => Err(refusal),
                never = refill(admission, clock) => match never {},
            }
        }
        (AdmissionDecision::Queued(_), None) => Err(time_out()),
    }
}

/// Gives out what a cold target bears as time passes, while somebody waits.
async fn refill(admission: &Admission, clock: &Clock) -> Infallible {
    while let Some(next) = admission.admit_queued(clock.now()) {
        tokio::time::sleep_until(clock.instant(next).into()).await;
    }
    std::future::pending().await
}

async fn wait(queued: Queued, mut rx: oneshot::Receiver<Verdict>, clock: &Clock) -> Verdict {
    let until = clock.instant(queued.expires_at());
    match tokio::time::timeout_at(until.into(), &mut rx).await {
        Ok(told) => told.unwrap_or_else(|_| Err(time_out())),
        Err(_) => match queued.expire(clock.now()) {
            Some(refusal) => Err(refusal),
            // The verdict was on its way just when the time was up.
            None => rx.await.unwrap_or_else(|_| Err(time_out())),
        },
    }
}

fn time_out() -> Refusal {
    Refusal::not_run(Step::Admission, Reason::QueueTimeout)
}
