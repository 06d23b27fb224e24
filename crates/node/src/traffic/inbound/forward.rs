//! The last hop of a request: its admission and its hand-over to the local target.

use std::sync::Arc;

use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use sassafrasspool_core::AdmissionRequest;
use sassafrasspool_core::AttemptDecision;
use sassafrasspool_core::BoundService;
use sassafrasspool_core::Class;
use sassafrasspool_core::ColdLimit;
use sassafrasspool_core::Content;
use sassafrasspool_core::Deadline;
use sassafrasspool_core::KindName;
use sassafrasspool_core::Limits;
use sassafrasspool_core::Phase;
use sassafrasspool_core::Reason;
use sassafrasspool_core::Refusal;
use sassafrasspool_core::Request as Stage;
use sassafrasspool_core::RequestRate;
use sassafrasspool_core::Route;
use sassafrasspool_core::RunPermit;
use sassafrasspool_core::Step;
use sassafrasspool_core::StoredAnswer;
use sassafrasspool_core::Tick;
use sassafrasspool_wire::header as names;

use crate::Routes;
use crate::traffic::answer_body::AnswerBody;
use crate::traffic::failed_attempt::FailedAttempt;
use crate::traffic::head;
use crate::traffic::inbound::access_log::Facts;
use crate::traffic::inbound::access_log::InboundLogEntry;
use crate::traffic::inbound::inbound_request::InboundRequest;
use crate::traffic::inbound::unsent_key::UnsentKey;
use crate::traffic::keyed_attempt::KeyedAttempt;
use crate::traffic::payload::Payload;
use crate::traffic::stored_answer;
use crate::traffic::worker::Worker;

/// What is known of a request besides its head and body.
#[derive(Debug, Clone)]
pub(in crate::traffic) struct CallContext<'a> {
    /// The routes in force for it.
    pub(in crate::traffic) routes: &'a Routes,
    /// The deadline, at which the request is abandoned.
    pub(in crate::traffic) deadline: Deadline,
    /// Number of nodes that it has passed.
    pub(in crate::traffic) hop: u32,
    /// The class that the first hop's route assigns, if the first hop sent it.
    pub(in crate::traffic) class: Option<Class>,
    /// The kind that the first hop's route assigns, if the first hop sent it.
    pub(in crate::traffic) kind: Option<KindName>,
    /// The soft deadline: until then the answer is worth most to the caller.
    pub(in crate::traffic) soft_deadline: Option<Tick>,
    /// Whether this node is the last resort: no other node is tried after it.
    pub(in crate::traffic) last_resort: bool,
    /// Whether the caller was refused before and returns at the time that it was told.
    pub(in crate::traffic) returning: bool,
    /// The content of the request, if the first hop sent it.
    pub(in crate::traffic) content: Option<Content>,
    /// The target generation that it is meant for, where generations are distinguished.
    pub(in crate::traffic) generation: Option<HeaderValue>,
    /// Whether it is meant for the service that the settings name for the local target.
    pub(in crate::traffic) for_local_service: bool,
    /// The rate limit that the target stated to the node that sends the request.
    pub(in crate::traffic) known_rate_limit: Option<RequestRate>,
    /// The service of the target whose node is the first hop of the request.
    pub(in crate::traffic) origin: Option<HeaderValue>,
    /// Whether its answer is large, by the route of the first hop.
    pub(in crate::traffic) large_answer: bool,
}

impl CallContext<'_> {
    /// The admission request for it.
    pub(in crate::traffic) fn admission_request<'a>(
        &'a self,
        class: Class,
        limits: &'a Limits,
    ) -> AdmissionRequest<'a> {
        AdmissionRequest {
            kind: self.kind.as_ref(),
            soft_deadline: self.soft_deadline,
            last_resort: self.last_resort,
            returning: self.returning,
            ..Stage::received(class, self.deadline).admission_request(limits)
        }
    }
}

/// Runs a request in the local target.
///
/// # Errors
///
/// Returns a refusal if the request was not handed over, and a loss after that.
pub(in crate::traffic) async fn run_in_target(
    worker: &Worker,
    req: Request<Payload>,
    call: CallContext<'_>,
) -> Result<Response<AnswerBody>, FailedAttempt> {
    let hub = &worker.hub;
    if let Some(left) = hub.hold_suspect(call.content.as_ref()).await {
        let refusal = refuse(Reason::Quarantined).with_retry_after(left);
        return Err(FailedAttempt::unsent(refusal, req));
    }
    let listed = call
        .routes
        .local_endpoint()
        .map(|(endpoint, _)| &endpoint.instance);
    let slots = listed.map(|instance| instance.slots);
    if let Some(generation) = listed.and_then(|instance| instance.target.as_ref()) {
        worker.hub.update_listed_generation(generation);
    }
    let service = match local_service(worker, &call) {
        Ok(service) => service,
        Err(refusal) => return Err(FailedAttempt::unsent(refusal, req)),
    };
    let has_key = req.headers().contains_key(names::IDEMPOTENCY_KEY);
    let has_homes = call.routes.view.snapshot.has_homes();
    let route = match call.class {
        Some(_) if !has_key && !has_homes => None,
        _ => local_route(&req, service, &call),
    };
    // The sending node may have routed by an earlier catalogue version.
    if route.is_some_and(|route| !route.homes.allows(&hub.region)) {
        return Err(FailedAttempt::unsent(refuse(Reason::OutsideHomes), req));
    }
    let by_route = route.map_or(service.entry.class, |route| route.class);
    let class = call.class.unwrap_or(by_route);
    let run_permit = match decide_run(worker, route, &req) {
        RunDecision::Run(run_permit) => run_permit,
        RunDecision::Answer(stored) => return Ok(stored_answer::to_response(&stored)),
        RunDecision::Refuse(refusal) => return Err(refusal.into()),
    };
    let large_answer = call.large_answer;
    let facts = Facts {
        class,
        kind: call.kind.clone(),
        content: call.content,
        generation: call.generation.clone(),
        deadline: call.deadline,
        soft_deadline: call.soft_deadline,
        list_revision: call.routes.view.snapshot.instances().revision().get(),
    };
    let inbound = InboundRequest {
        worker,
        req,
        call,
        key: UnsentKey::new(run_permit),
    };
    let log_entry = InboundLogEntry::new(worker, facts, inbound.request_id());
    let result = inbound.admit_and_send(class, service, slots).await;
    log_entry.finish(&result);
    let mut res = result?;
    add_load_headers(worker, res.headers_mut(), large_answer);
    Ok(res)
}

/// Checks whether a request with a long body would be accepted, before the body is sent.
///
/// # Errors
///
/// Returns the refusal that the request itself would receive.
pub(in crate::traffic) fn check_capacity(
    worker: &Worker,
    call: &CallContext<'_>,
) -> Result<(), Refusal> {
    let content = call.content.as_ref();
    worker.hub.check_quarantine(Step::Admission, content)?;
    let service = local_service(worker, call)?;
    let class = call.class.unwrap_or(service.entry.class);
    let mut admission_request = call.admission_request(class, &service.entry.limits);
    StartLimits::find(worker, service, call).apply_to(&mut admission_request);
    let now = worker.hub.shared.clock().now();
    match worker
        .hub
        .admission
        .predict_refusal(now, &admission_request)
    {
        Some(refusal) => Err(refusal),
        None => worker.hub.uploads.try_acquire().map(drop),
    }
}

/// The limits on the requests that start at the local target.
#[derive(Debug, Clone, Copy)]
pub(in crate::traffic) struct StartLimits {
    cold: Option<ColdLimit>,
    stated: Option<RequestRate>,
}

impl StartLimits {
    /// The limits that are known now.
    pub(in crate::traffic) fn find(
        worker: &Worker,
        service: &BoundService,
        call: &CallContext<'_>,
    ) -> StartLimits {
        let shared = &worker.hub.shared;
        if let Some(known) = call.known_rate_limit {
            shared
                .target_statements()
                .adopt_limit(shared.clock().now(), known);
        }
        StartLimits {
            cold: cold_limit(worker, service, call),
            stated: shared.target_statements().limit(),
        }
    }

    /// Sets the limits of an admission request.
    pub(in crate::traffic) fn apply_to(self, request: &mut AdmissionRequest<'_>) {
        request.cold_limit = self.cold;
        request.target_limit = self.stated;
    }
}

/// The admission limit of the local target, if it is cold.
fn cold_limit(
    worker: &Worker,
    service: &BoundService,
    call: &CallContext<'_>,
) -> Option<ColdLimit> {
    let shared = &worker.hub.shared;
    let start = service.entry.cold_start.as_ref();
    let generation = call.generation.as_ref().and_then(|name| name.to_str().ok());
    let tolerance = worker.hub.cold_tolerance;
    let now = shared.clock().now();
    shared
        .cold_tracker()
        .cold_limit(now, start, tolerance, generation)
}

/// The service of the local target, if the local endpoint accepts work.
fn local_service<'a>(worker: &Worker, call: &CallContext<'a>) -> Result<&'a BoundService, Refusal> {
    if let Some(reason) = refusal_reason(worker) {
        return Err(refuse(reason));
    }
    let service = call.routes.local_service(Some(&worker.hub.service));
    service.ok_or_else(|| refuse(Reason::NoConfiguration))
}

/// Whether a request is run, according to its key if it has one.
#[derive(Debug)]
enum RunDecision {
    Run(Option<RunPermit>),
    Answer(Arc<StoredAnswer>),
    Refuse(Refusal),
}

fn decide_run(worker: &Worker, route: Option<&Route>, req: &Request<Payload>) -> RunDecision {
    let hub = &worker.hub;
    if route.is_some_and(|route| route.idempotent) {
        return RunDecision::Run(None);
    }
    let keyed = match KeyedAttempt::from_request(&hub.service, req) {
        Ok(Some(keyed)) => keyed,
        Ok(None) => return RunDecision::Run(None),
        Err(refusal) => return RunDecision::Refuse(refusal),
    };
    let now = hub.shared.clock().now();
    match hub
        .dedup_window
        .begin_attempt(now, keyed.key, keyed.attempt)
    {
        AttemptDecision::Run(run_permit) => RunDecision::Run(Some(run_permit)),
        AttemptDecision::Answer(stored) => RunDecision::Answer(stored),
        AttemptDecision::Refuse(refusal) => RunDecision::Refuse(refusal),
    }
}

/// Why the local endpoint accepts no work; `None` if it accepts work.
fn refusal_reason(worker: &Worker) -> Option<Reason> {
    if worker.hub.is_leaving() || worker.hub.has_departed() {
        return Some(Reason::Draining);
    }
    if worker.hub.shared.is_evacuated() {
        return Some(Reason::Evacuated);
    }
    let starting = worker.hub.shared.phase() == Phase::Starting;
    starting.then_some(Reason::Starting)
}

/// The route of a request in this node's view, if it leads to the local service. The
/// first hop may have routed by another catalogue version, in which the path led to
/// this service.
fn local_route<'a>(
    req: &Request<Payload>,
    service: &BoundService,
    call: &CallContext<'a>,
) -> Option<&'a Route> {
    let host = head::host(req);
    let bound = call
        .routes
        .view
        .snapshot
        .match_route(host, req.uri().path())?;
    let route = &bound.route;
    let leads_here = route.services().any(|name| *name == service.entry.name);
    leads_here.then_some(route)
}

/// Adds the load of the local target, that of its link for a large answer, its remaining cold time and its rate limit to the
/// headers of an answer.
pub(in crate::traffic) fn add_load_headers(
    worker: &Worker,
    headers: &mut HeaderMap,
    large_answer: bool,
) {
    let load = worker.hub.admission.load().to_string();
    if let Ok(value) = load.try_into() {
        headers.insert(names::LOAD, value);
    }
    let shared = &worker.hub.shared;
    // Answers without a large body report it too, so that callers' nodes know links that their
    // large answers don't use at present.
    if let Some(link) = shared
        .link()
        .filter(|link| large_answer || link.count() > 0)
        && let Ok(value) = link.report(shared.clock().now()).to_string().try_into()
    {
        headers.insert(names::LINK_REPORT, value);
    }
    let cold = shared
        .cold_tracker()
        .cold_left(shared.clock().now())
        .as_millis();
    if cold > 0 {
        let cold = u64::try_from(cold).unwrap_or(u64::MAX);
        headers.insert(names::COLD_REMAINING_MS, HeaderValue::from(cold));
    }
    if let Some(limit) = shared.target_statements().limit() {
        headers.insert(names::KNOWN_RATE_LIMIT, head::decimal(limit));
    }
}

fn refuse(reason: Reason) -> Refusal {
    Refusal::not_run(Step::Admission, reason)
}
