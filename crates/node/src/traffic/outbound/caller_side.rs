//! Requests of callers: the first hop, which routes and may try again.

use std::sync::Arc;

use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::header::CONNECTION;
use sassafrasspool_core::Failure;
use sassafrasspool_core::Reason;
use sassafrasspool_core::Refusal;
use sassafrasspool_core::Step;
use sassafrasspool_wire::header as names;

use crate::Dialect;
use crate::Routes;
use crate::traffic::answer::Answer;
use crate::traffic::content;
use crate::traffic::head;
use crate::traffic::keyed;
use crate::traffic::outbound::access_log;
use crate::traffic::outbound::first_hop::FirstHop;
use crate::traffic::payload::Payload;
use crate::traffic::refusal;
use crate::traffic::worker::Worker;

/// Which listener a caller came by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::traffic) enum Side {
    /// Callers from outside.
    Ingress,
    /// The own target.
    Egress,
}

/// Answers a request of a caller.
pub(in crate::traffic) async fn serve(
    worker: &Worker,
    side: Side,
    req: Request<Payload>,
) -> Response<Answer> {
    let guard = worker.hub.shared.in_flight().enter();
    let may_follow = keyed::may_follow_another(req.headers());
    let taken = req.body().taken();
    let mut result = run(worker, side, req).await;
    if may_follow {
        result = result.map_err(keyed::unknown);
    }
    match side {
        Side::Ingress => worker.hub.ingress.count(&result),
        Side::Egress => worker.hub.egress.count(&result),
    }
    let dialect = worker.hub.shared.dialect();
    let is_own = result.is_err();
    let res = result.unwrap_or_else(|failure| refusal::respond(&failure, dialect));
    let mut res = for_caller(res, dialect);
    if is_own && taken.is_some_and(|taken| !taken.is_whole()) {
        announce_close(res.headers_mut());
    }
    res.map(|body| body.held(guard))
}

/// Says that the connection ends with this answer.
///
/// The library closes one whose request was answered with a part of its body
/// unread, and doesn't say so. The next request on it was then cut: a caller
/// that hears of it opens another.
fn announce_close(headers: &mut HeaderMap) {
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
}

/// Takes off what concerns nodes alone, but for the outcome.
fn for_caller(mut res: Response<Answer>, dialect: &Dialect) -> Response<Answer> {
    let outcome = res.headers_mut().remove(names::OUTCOME);
    head::strip_own(res.headers_mut());
    if let Some(outcome) = outcome.filter(|_| dialect.tells_outcome) {
        res.headers_mut().insert(names::OUTCOME, outcome);
    }
    res
}

/// Whether a request's route lets it run twice, by what is in force now.
pub(in crate::traffic) fn may_repeat<B>(worker: &Worker, req: &Request<B>) -> bool {
    let Some(routes) = worker.hub.shared.routes() else {
        return false;
    };
    let snapshot = &routes.view.snapshot;
    let route = snapshot.match_route(head::host(req), req.uri().path());
    route.is_some_and(|route| route.route.idempotent)
}

async fn run(
    worker: &Worker,
    side: Side,
    req: Request<Payload>,
) -> Result<Response<Answer>, Failure> {
    let id = access_log::written_id(worker, &req);
    let unrouted = |routes: Option<&Routes>, refusal: Refusal| {
        access_log::log_unrouted(worker, id.as_ref(), routes, refusal);
        Failure::from(refusal)
    };
    // INVARIANT: The request is routed by these alone; newer ones only take
    // endpoints away from it.
    let routes = routes(worker, side).map_err(|refusal| unrouted(None, refusal))?;
    let prepared = prepare(worker, side, &routes, req).await;
    let (first, req) = prepared.map_err(|refusal| unrouted(Some(&routes), refusal))?;
    first.run(req).await
}

/// The routes in force, if callers of that side are served.
fn routes(worker: &Worker, side: Side) -> Result<Arc<Routes>, Refusal> {
    if side == Side::Ingress && worker.hub.is_leaving() {
        // The own target's calls go on: what is in flight needs them.
        return Err(refuse(Reason::Draining));
    }
    let routes = worker.hub.shared.routes();
    routes.ok_or_else(|| refuse(Reason::NoConfiguration))
}

/// Routes a request and holds its body, if there is room for it.
async fn prepare<'a>(
    worker: &'a Worker,
    side: Side,
    routes: &'a Routes,
    mut req: Request<Payload>,
) -> Result<(FirstHop<'a>, Request<Payload>), Refusal> {
    head::strip_own(req.headers_mut());
    let first = FirstHop::new(worker, side, routes, &req)?;
    let (parts, body) = req.into_parts();
    let bound = routes.view.snapshot.caller_limits().body_bytes;
    let Ok(body) = body.bounded(bound) else {
        return Err(refuse(Reason::TooLarge));
    };
    let until = worker.hub.shared.clock().instant(first.deadline().tick());
    let body = match tokio::time::timeout_at(until.into(), body.hold(&worker.hub.bodies)).await {
        Ok(Ok(body)) => body,
        // The caller broke off; nobody reads this answer.
        Ok(Err(_)) => return Err(refuse(Reason::CallerGone)),
        Err(_) => return Err(refuse(Reason::DeadlinePassed)),
    };
    let mut req = Request::from_parts(parts, body);
    let uri = req.uri().clone();
    head::set_host(req.headers_mut(), &uri);
    head::strip_connection(req.headers_mut());
    let content = content::of(&req);
    Ok((first.asking(content), req))
}

fn refuse(reason: Reason) -> Refusal {
    Refusal::not_run(Step::Route, reason)
}
