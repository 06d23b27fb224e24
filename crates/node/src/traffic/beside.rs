//! The last hop: admission beside the target and handing over to it.

use http::HeaderMap;
use http::Request;
use http::Response;
use http::Uri;
use http::Version;
use sassafrasspool_core::Deadline;
use sassafrasspool_core::Loss;
use sassafrasspool_core::LossCause;
use sassafrasspool_core::Reason;
use sassafrasspool_core::Refusal;
use sassafrasspool_core::Step;
use sassafrasspool_wire::header as names;

use super::admission::Permit;
use super::answer::Answer;
use super::head;
use super::missed::Missed;
use super::parents::Parent;
use super::payload::Payload;
use super::target;
use super::worker::Worker;

/// What is known of a call beside its head and body.
#[derive(Debug, Clone, Copy)]
pub(super) struct Call {
    /// When it is given up.
    pub(super) deadline: Deadline,
    /// How many nodes it has passed.
    pub(super) hop: u32,
}

/// Runs a request in the own target.
///
/// # Errors
///
/// A refusal was not handed over; anything later is a loss.
pub(super) async fn run(
    worker: &Worker,
    req: Request<Payload>,
    call: Call,
) -> Result<Response<Answer>, Missed> {
    let waiting = Waiting { worker, req, call };
    let admitted = waiting.admit().await?;
    let mut res = admitted.hand_over().await?;
    add_load(worker, res.headers_mut());
    Ok(res)
}

/// Puts the load beside the target on an answer.
pub(super) fn add_load(worker: &Worker, headers: &mut HeaderMap) {
    let load = worker.hub.admission.load().to_string();
    if let Ok(value) = load.try_into() {
        headers.insert(names::LOAD, value);
    }
}

/// A request that waits beside the target.
///
/// It is used up by being refused or admitted, and an admitted one by being
/// handed over: none can be both refused and handed over.
#[derive(Debug)]
struct Waiting<'a> {
    worker: &'a Worker,
    req: Request<Payload>,
    call: Call,
}

/// A request that has a slot.
#[derive(Debug)]
struct Admitted<'a> {
    waiting: Waiting<'a>,
    permit: Permit,
}

impl<'a> Waiting<'a> {
    async fn admit(self) -> Result<Admitted<'a>, Missed> {
        let hub = &self.worker.hub;
        if hub.is_leaving() {
            return Err(Missed::unsent(refuse(Reason::Draining), self.req));
        }
        let now = hub.shared.clock().now();
        let permit = hub.admission.admit(self.call.deadline.remaining(now));
        match permit.await {
            Ok(permit) => Ok(Admitted {
                waiting: self,
                permit,
            }),
            Err(refusal) => Err(Missed::unsent(refusal, self.req)),
        }
    }
}

impl Admitted<'_> {
    async fn hand_over(self) -> Result<Response<Answer>, Missed> {
        let Admitted { waiting, permit } = self;
        let Waiting { worker, req, call } = waiting;
        let hub = &worker.hub;
        let now = hub.shared.clock().now();
        // A process that was paused wakes up here with work that nobody waits
        // for any more; the clock went on meanwhile, so that it shows.
        if call.deadline.passed(now) {
            return Err(Missed::unsent(refuse(Reason::DeadlinePassed), req));
        }
        let parent = Parent {
            hop: call.hop,
            deadline: call.deadline,
        };
        let _running = hub.parents.enter(req.headers(), parent);
        let exchange = target::exchange(&hub.pool, worker.index, for_target(req));
        let until = hub.shared.clock().instant(call.deadline.tick());
        let res = match tokio::time::timeout_at(until.into(), exchange).await {
            Ok(Ok(res)) => res,
            Ok(Err(target::Failure::NotSent(err, unsent))) => {
                tracing::debug!(%err, "not handed over");
                let failure = refuse(Reason::Connect).into();
                return Err(Missed { failure, unsent });
            }
            Ok(Err(target::Failure::Sent(err))) => {
                tracing::debug!(%err, "lost");
                return Err(Loss::new(Step::Forward, LossCause::ConnectionLost).into());
            }
            Err(_) => return Err(Loss::new(Step::Forward, LossCause::Timeout).into()),
        };
        Ok(from_target(
            res.map(|body| Answer::target(body.holding(permit))),
        ))
    }
}

fn refuse(reason: Reason) -> Refusal {
    Refusal::not_run(Step::Admission, reason)
}

/// Takes off what concerns nodes alone and makes it an HTTP/1.1 request.
fn for_target(mut req: Request<Payload>) -> Request<Payload> {
    head::strip_own(req.headers_mut());
    let path = req.uri().path_and_query().cloned();
    *req.uri_mut() = path.map_or_else(Uri::default, Uri::from);
    *req.version_mut() = Version::HTTP_11;
    req
}

fn from_target(mut res: Response<Answer>) -> Response<Answer> {
    head::strip_own(res.headers_mut());
    head::strip_connection(res.headers_mut());
    *res.version_mut() = Version::HTTP_11;
    res
}
