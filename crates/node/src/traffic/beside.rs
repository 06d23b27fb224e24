//! The last hop: admission beside the target and handing over to it.

use http::HeaderMap;
use http::Request;
use http::Response;
use http::Uri;
use http::Version;
use sassafrasspool_core::Admitted;
use sassafrasspool_core::BoundService;
use sassafrasspool_core::Class;
use sassafrasspool_core::Deadline;
use sassafrasspool_core::LossCause;
use sassafrasspool_core::Phase;
use sassafrasspool_core::Reason;
use sassafrasspool_core::Received;
use sassafrasspool_core::Refusal;
use sassafrasspool_core::Request as Stage;
use sassafrasspool_core::Step;
use sassafrasspool_wire::header as names;

use super::admission;
use super::answer::Answer;
use super::head;
use super::missed::Missed;
use super::parents::Parent;
use super::payload::Payload;
use super::target;
use super::target::Connection;
use super::worker::Worker;
use crate::Routes;

/// What is known of a call beside its head and body.
#[derive(Debug, Clone, Copy)]
pub(super) struct Call<'a> {
    /// What is in force for it.
    pub(super) routes: &'a Routes,
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
    call: Call<'_>,
) -> Result<Response<Answer>, Missed> {
    if let Some(reason) = closed(worker) {
        return Err(Missed::unsent(refuse(reason), req));
    }
    let Some((_, service)) = call.routes.view.snapshot.find_service(&worker.hub.service) else {
        return Err(Missed::unsent(refuse(Reason::NoConfiguration), req));
    };
    let stage = Stage::received(class_of(&req, service, &call), call.deadline);
    let at_target = AtTarget { worker, req, call };
    let mut res = at_target.run(stage, service).await?;
    add_load(worker, res.headers_mut());
    Ok(res)
}

/// Why the own endpoint takes no work, if it doesn't.
fn closed(worker: &Worker) -> Option<Reason> {
    if worker.hub.is_leaving() {
        return Some(Reason::Draining);
    }
    let starting = worker.hub.shared.phase() == Phase::Starting;
    starting.then_some(Reason::Starting)
}

/// The class by the own view. The first hop may have routed by another version
/// of the catalogue, in which the path led to this service.
fn class_of(req: &Request<Payload>, service: &BoundService, call: &Call<'_>) -> Class {
    let route = call.routes.view.snapshot.match_route(req.uri().path());
    let own = route.filter(|bound| bound.route.service == service.entry.name);
    own.map_or(service.entry.class, |bound| bound.route.class)
}

/// Puts the load beside the target on an answer.
pub(super) fn add_load(worker: &Worker, headers: &mut HeaderMap) {
    let load = worker.hub.admission.load().to_string();
    if let Ok(value) = load.try_into() {
        headers.insert(names::LOAD, value);
    }
}

/// A request on its way through the stages that the core keeps apart.
#[derive(Debug)]
struct AtTarget<'a> {
    worker: &'a Worker,
    req: Request<Payload>,
    call: Call<'a>,
}

impl AtTarget<'_> {
    async fn run(
        self,
        stage: Stage<Received>,
        service: &BoundService,
    ) -> Result<Response<Answer>, Missed> {
        let hub = &self.worker.hub;
        let ask = stage.ask(&service.entry.limits);
        let admitted = admission::admit(&hub.admission, hub.shared.clock(), &ask).await;
        let permit = match admitted {
            Ok(permit) => permit,
            Err(refusal) => return Err(Missed::unsent(refusal, self.req)),
        };
        let stage = stage.admit(permit);
        match target::take(&hub.pool, self.worker.index).await {
            Ok(conn) => self.hand_over(stage, conn).await,
            Err(err) => {
                tracing::debug!(%err, "not handed over");
                let now = hub.shared.clock().now();
                let refusal = stage.refuse(now, Step::Connect, Reason::Connect);
                Err(Missed::unsent(refusal, self.req))
            }
        }
    }

    async fn hand_over(
        self,
        stage: Stage<Admitted>,
        conn: Connection,
    ) -> Result<Response<Answer>, Missed> {
        let AtTarget { worker, req, call } = self;
        let hub = &worker.hub;
        let clock = *hub.shared.clock();
        let parent = Parent {
            hop: call.hop,
            deadline: call.deadline,
        };
        let _running = hub.parents.enter(req.headers(), parent);
        let stage = match stage.hand_over(clock.now()) {
            Ok(stage) => stage,
            Err(refusal) => return Err(Missed::unsent(refusal, req)),
        };
        let until = clock.instant(call.deadline.tick());
        let exchange = target::exchange(conn, for_target(req));
        match tokio::time::timeout_at(until.into(), exchange).await {
            Ok(Ok(res)) => {
                let stage = stage.answered();
                let body = |body: target::TargetBody| body.holding(stage, clock);
                Ok(from_target(res.map(|raw| Answer::target(body(raw)))))
            }
            Ok(Err(target::Failure::NotSent(err, proof, unsent))) => {
                tracing::debug!(%err, "not handed over");
                let failure = stage.take_back(clock.now(), proof).into();
                Err(Missed { failure, unsent })
            }
            Ok(Err(target::Failure::Sent(err))) => {
                tracing::debug!(%err, "lost");
                Err(stage.lost(clock.now(), LossCause::ConnectionLost).into())
            }
            Err(_) => Err(stage.lost(clock.now(), LossCause::Timeout).into()),
        }
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
