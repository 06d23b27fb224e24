//! Taking a body in before its request asks for a slot.

use std::time::Duration;

use http::Request;
use sassafrasspool_core::AdmissionRequest;
use sassafrasspool_core::Reason;
use sassafrasspool_core::Refusal;
use sassafrasspool_core::Step;
use tokio::sync::Semaphore;
use tokio::sync::SemaphorePermit;

use crate::traffic::hub::Hub;
use crate::traffic::missed::Missed;
use crate::traffic::payload::Payload;

/// Of so many slots one long body may be on its way at once: more would share the
/// same link, so that all of them come later.
const SLOTS_PER_BODY: u32 = 2;

/// When to come back to a target that takes in as many bodies as it may: about what
/// one takes on the slowest links.
const COME_BACK: Duration = Duration::from_millis(100);

/// Long bodies on their way to the own target.
#[derive(Debug)]
pub(in crate::traffic) struct Arrivals(Semaphore);

impl Arrivals {
    /// None so far, beside a target that has so many slots by the settings.
    pub(in crate::traffic) fn new(slots: u32) -> Arrivals {
        let most = (slots / SLOTS_PER_BODY).max(1);
        Arrivals(Semaphore::new(usize::try_from(most).unwrap_or(1)))
    }

    /// Lets another come until what is returned is dropped, if it may now.
    ///
    /// # Errors
    ///
    /// Refuses it as not run, and says when to come back.
    pub(in crate::traffic) fn enter(&self) -> Result<SemaphorePermit<'_>, Refusal> {
        let turn = self.0.try_acquire();
        turn.map_err(|_| refuse(Reason::QueueFull).with_retry_after(COME_BACK))
    }
}

/// Takes in the body of a request from another node, unless it is too large to be
/// held.
///
/// A body that comes while its request holds a slot holds it for as long as its
/// link takes, and targets that have room for the work have no slots. A request that
/// would be refused is refused before its body is asked for.
///
/// # Errors
///
/// Refuses it as not run.
pub(in crate::traffic) async fn take_in(
    hub: &Hub,
    ask: &AdmissionRequest<'_>,
    req: Request<Payload>,
) -> Result<Request<Payload>, Missed> {
    if req.body().to_come().is_none() {
        return Ok(req);
    }
    let clock = hub.shared.clock();
    if let Some(refusal) = hub.admission.predict_refusal(clock.now(), ask) {
        return Err(Missed::unsent(refusal, req));
    }
    // What fits into the window is there with the head of the request.
    let _turn = match req.body().is_short() {
        true => None,
        false => match hub.arrivals.enter() {
            Ok(turn) => Some(turn),
            Err(refusal) => return Err(Missed::unsent(refusal, req)),
        },
    };
    let until = clock.instant(ask.deadline.tick());
    let (parts, body) = req.into_parts();
    match tokio::time::timeout_at(until.into(), body.hold(&hub.bodies)).await {
        Ok(Ok(body)) => Ok(Request::from_parts(parts, body)),
        // The node that sent it broke off, and hears no answer.
        Ok(Err(_)) => Err(refuse(Reason::CallerGone).into()),
        Err(_) => Err(refuse(Reason::DeadlinePassed).into()),
    }
}

fn refuse(reason: Reason) -> Refusal {
    Refusal::not_run(Step::Admission, reason)
}
