//! Serves requests of callers: the first hop, which routes and may retry.

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
use crate::traffic::answer_body::AnswerBody;
use crate::traffic::content;
use crate::traffic::failure_response;
use crate::traffic::head;
use crate::traffic::keyed_attempt;
use crate::traffic::outbound::access_log;
use crate::traffic::outbound::first_hop::FirstHop;
use crate::traffic::payload::Payload;
use crate::traffic::worker::Worker;

/// The listener that a caller connected to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::traffic) enum CallerPort {
    /// For callers from outside.
    Ingress,
    /// For the local target.
    Egress,
}

/// Answers a request of a caller.
pub(in crate::traffic) async fn serve(
    worker: &Worker,
    port: CallerPort,
    req: Request<Payload>,
) -> Response<AnswerBody> {
    let guard = worker.hub.shared.in_flight().enter();
    let read_status = req.body().read_status();
    let result = run(worker, port, req).await;
    count(worker, port, &result);
    let dialect = worker.hub.shared.dialect();
    let is_node_response = result.is_err();
    let mut res = match result {
        Ok(res) => strip_internal(res, dialect),
        Err(failure) => failure_response(&failure, dialect),
    };
    if is_node_response && read_status.is_some_and(|status| !status.is_complete()) {
        announce_close(res.headers_mut());
    }
    let link = worker.hub.shared.link();
    let link = link.filter(|_| port == CallerPort::Ingress);
    res.map(|body| body.with_in_flight_guard(guard).counted(link))
}

/// Counts the result of a request.
pub(in crate::traffic) fn count<T>(worker: &Worker, port: CallerPort, result: &Result<T, Failure>) {
    match port {
        CallerPort::Ingress => worker.hub.ingress.count(result),
        CallerPort::Egress => worker.hub.egress.count(result),
    }
}

/// The response to a caller whose request has no answer of a target.
pub(in crate::traffic) fn failure_response(
    failure: &Failure,
    dialect: &Dialect,
) -> Response<AnswerBody> {
    strip_internal(failure_response::to_response(failure, dialect), dialect)
}

/// Announces that the connection closes after this answer.
///
/// The HTTP library closes a connection if a request was answered while a part of its body
/// was unread, but doesn't announce it. The caller's next request on it was then cut. With
/// the header, the caller opens another connection.
fn announce_close(headers: &mut HeaderMap) {
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
}

/// Removes the headers that only nodes use, except the outcome if the dialect passes it on.
fn strip_internal(mut res: Response<AnswerBody>, dialect: &Dialect) -> Response<AnswerBody> {
    let outcome = res.headers_mut().remove(names::OUTCOME);
    head::strip_internal_headers(res.headers_mut());
    if let Some(outcome) = outcome.filter(|_| dialect.sends_outcome_headers) {
        res.headers_mut().insert(names::OUTCOME, outcome);
    }
    res
}

/// Whether the request's route is idempotent in the snapshot in force.
pub(in crate::traffic) fn is_idempotent<B>(worker: &Worker, req: &Request<B>) -> bool {
    let Some(routes) = worker.hub.shared.routes() else {
        return false;
    };
    let snapshot = &routes.view.snapshot;
    let route = snapshot.match_route(head::host(req), req.uri().path());
    route.is_some_and(|route| route.route.idempotent)
}

async fn run(
    worker: &Worker,
    port: CallerPort,
    req: Request<Payload>,
) -> Result<Response<AnswerBody>, Failure> {
    let id = access_log::logged_request_id(worker, &req);
    let may_follow_earlier_attempt = keyed_attempt::may_follow_earlier_attempt(req.headers());
    let final_failure = |failure: Failure| match may_follow_earlier_attempt {
        true => keyed_attempt::into_unknown(failure),
        false => failure,
    };
    let unrouted = |routes: Option<&Routes>, refusal: Refusal| {
        access_log::log_unrouted(worker, id.as_ref(), routes, refusal);
        final_failure(refusal.into())
    };
    // INVARIANT: The request is routed by these alone; newer ones only remove endpoints
    // from the choice.
    let routes = routes_in_force(worker, port).map_err(|refusal| unrouted(None, refusal))?;
    let prepared = prepare(worker, port, &routes, req).await;
    let (first, req) = prepared.map_err(|refusal| unrouted(Some(&routes), refusal))?;
    let ended = first.run(req).await.map_err(final_failure);
    if let Err(failure) = &ended {
        first.record_final_failure(failure);
    }
    ended
}

/// The routes in force, unless callers of that port are refused.
fn routes_in_force(worker: &Worker, port: CallerPort) -> Result<Arc<Routes>, Refusal> {
    if port == CallerPort::Ingress && worker.hub.is_leaving() {
        // Calls of the local target are still served: requests in flight need them.
        return Err(refuse(Reason::Draining));
    }
    let routes = worker.hub.shared.routes();
    routes.ok_or_else(|| refuse(Reason::NoConfiguration))
}

/// Routes a request, and buffers its body if there is memory for it.
async fn prepare<'a>(
    worker: &'a Worker,
    port: CallerPort,
    routes: &'a Routes,
    mut req: Request<Payload>,
) -> Result<(FirstHop<'a>, Request<Payload>), Refusal> {
    let limits = routes.view.snapshot.caller_limits();
    if head::size(&req) > usize::try_from(limits.head_bytes).unwrap_or(usize::MAX) {
        return Err(refuse(Reason::HeadTooLarge));
    }
    head::strip_internal_headers(req.headers_mut());
    let first = FirstHop::new(worker, port, routes, &req)?;
    let (parts, body) = req.into_parts();
    let Ok(body) = body.bounded(limits.body_bytes) else {
        return Err(refuse(Reason::TooLarge));
    };
    let until = worker.hub.shared.clock().instant(first.deadline().tick());
    let body =
        match tokio::time::timeout_at(until.into(), body.buffer(&worker.hub.body_memory)).await {
            Ok(Ok(body)) => body,
            // The caller disconnected; this answer isn't read.
            Ok(Err(_)) => return Err(refuse(Reason::CallerGone)),
            Err(_) => return Err(refuse(Reason::DeadlinePassed)),
        };
    let mut req = Request::from_parts(parts, body);
    let uri = req.uri().clone();
    head::set_host(req.headers_mut(), &uri);
    head::strip_hop_by_hop(req.headers_mut());
    let content = content::of(&req);
    Ok((first.with_content(content), req))
}

fn refuse(reason: Reason) -> Refusal {
    Refusal::not_run(Step::Route, reason)
}
