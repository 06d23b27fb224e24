//! Requests that other nodes forward to the local target.

use std::sync::LazyLock;
use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use sassafrasspool_core::Class;
use sassafrasspool_core::Content;
use sassafrasspool_core::Deadline;
use sassafrasspool_core::Failure;
use sassafrasspool_core::KindName;
use sassafrasspool_core::Reason;
use sassafrasspool_core::Refusal;
use sassafrasspool_core::Step;
use sassafrasspool_wire::header as names;

use crate::Dialect;
use crate::Routes;
use crate::traffic::answer_body::AnswerBody;
use crate::traffic::bounds::HEAD_BYTES_ON_LINK;
use crate::traffic::bounds::MAX_HOPS;
use crate::traffic::failure_response;
use crate::traffic::head;
use crate::traffic::inbound::forward;
use crate::traffic::inbound::forward::CallContext;
use crate::traffic::payload::Payload;
use crate::traffic::worker::Worker;

/// The dialect between nodes: all headers, and retry delays with fractions of a second.
static BETWEEN_NODES: LazyLock<Dialect> = LazyLock::new(|| Dialect {
    fractional_retry_after: true,
    ..Dialect::NATIVE
});

/// Serves a request from another node.
pub(in crate::traffic) async fn serve(
    worker: &Worker,
    req: Request<Incoming>,
) -> Response<AnswerBody> {
    let guard = worker.hub.shared.in_flight().enter();
    let large_answer = req.headers().contains_key(names::LARGE_ANSWER);
    let result = run(worker, req).await;
    worker.hub.peers.count(&result);
    let res = result.unwrap_or_else(|failure| {
        let mut res = failure_response::to_response(&failure, &BETWEEN_NODES);
        forward::add_load_headers(worker, res.headers_mut(), large_answer);
        res
    });
    if let Some(link) = worker.hub.shared.link() {
        link.record_other(HEAD_BYTES_ON_LINK);
    }
    let link = worker.hub.shared.link();
    res.map(|body| body.with_in_flight_guard(guard).counted(link))
}

async fn run(worker: &Worker, req: Request<Incoming>) -> Result<Response<AnswerBody>, Failure> {
    // INVARIANT: On this node the request uses these routes and no others.
    let Some(routes) = worker.hub.shared.routes() else {
        return Err(refuse(Reason::NoConfiguration).into());
    };
    let call = call_of(worker, &routes, req.headers())?;
    if req.headers().contains_key(names::CAPACITY_CHECK) {
        forward::check_capacity(worker, &call)?;
        return Ok(Response::new(AnswerBody::from_text("")));
    }
    let (parts, body) = req.into_parts();
    let bound = routes.view.snapshot.caller_limits().body_bytes;
    let Ok(body) = Payload::streaming(body).bounded(bound) else {
        return Err(refuse(Reason::TooLarge).into());
    };
    let ran = forward::run_in_target(worker, Request::from_parts(parts, body), call).await;
    ran.map_err(|failed| failed.failure)
}

fn call_of<'a>(
    worker: &Worker,
    routes: &'a Routes,
    headers: &HeaderMap,
) -> Result<CallContext<'a>, Refusal> {
    check_service(worker, headers)?;
    let hop = head::parse_number(headers, &names::HOP_COUNT).unwrap_or(0);
    let hop = u32::try_from(hop).unwrap_or(u32::MAX);
    if hop > MAX_HOPS {
        return Err(refuse(Reason::TooManyHops));
    }
    // Only nodes send requests here, and each of them sends a deadline.
    let Some(left) = head::parse_number(headers, &names::DEADLINE_MS) else {
        return Err(refuse(Reason::DeadlinePassed));
    };
    let now = worker.hub.shared.clock().now();
    Ok(CallContext {
        routes,
        deadline: Deadline::within(now, Duration::from_millis(left)),
        hop,
        class: text(headers, &names::CLASS).and_then(Class::from_name),
        kind: text(headers, &names::KIND).and_then(|name| KindName::new(name).ok()),
        soft_deadline: head::parse_number(headers, &names::SOFT_DEADLINE_MS)
            .map(|ms| now + Duration::from_millis(ms)),
        content: text(headers, &names::CONTENT_HASH).and_then(|text| Content::parse(text).ok()),
        last_resort: headers.contains_key(names::LAST_RESORT),
        returning: headers.contains_key(names::RETURNING),
        generation: headers.get(names::TARGET_GENERATION).cloned(),
        for_local_service: text(headers, &names::SERVICE)
            .is_some_and(|name| worker.hub.serves(name)),
        known_rate_limit: head::parse_rate(headers, &names::KNOWN_RATE_LIMIT),
        origin: headers.get(names::ORIGIN_SERVICE).cloned(),
        large_answer: headers.contains_key(names::LARGE_ANSWER),
    })
}

/// Refuses requests for another service.
///
/// Instances are replaced at any time and addresses are reused, so that a stale
/// instance list can lead to a target of another service.
fn check_service(worker: &Worker, headers: &HeaderMap) -> Result<(), Refusal> {
    if headers.contains_key(names::TARGET_GENERATION) {
        // The target itself declines a request for another generation.
        return Ok(());
    }
    let service = headers.get(names::SERVICE);
    match service {
        Some(name) if name == worker.hub.service.as_str() => Ok(()),
        _ => Err(refuse(Reason::NoEndpoint)),
    }
}

fn refuse(reason: Reason) -> Refusal {
    Refusal::not_run(Step::Admission, reason)
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
