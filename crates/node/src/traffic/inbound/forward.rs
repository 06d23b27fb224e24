//! The last hop: admission beside the target and handing over to it.

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
use sassafrasspool_core::Route;
use sassafrasspool_core::RunPermit;
use sassafrasspool_core::Step;
use sassafrasspool_core::StoredAnswer;
use sassafrasspool_core::Tick;
use sassafrasspool_wire::header as names;

use crate::Routes;
use crate::traffic::answer::Answer;
use crate::traffic::head;
use crate::traffic::inbound::access_log::BesideTrail;
use crate::traffic::inbound::access_log::Facts;
use crate::traffic::inbound::hand_over::AtTarget;
use crate::traffic::inbound::unsent_key::UnsentKey;
use crate::traffic::keyed::Keyed;
use crate::traffic::missed::Missed;
use crate::traffic::payload::Payload;
use crate::traffic::stored_answer;
use crate::traffic::worker::Worker;

/// What is known of a call beside its head and body.
#[derive(Debug, Clone)]
pub(in crate::traffic) struct Call<'a> {
    /// What is in force for it.
    pub(in crate::traffic) routes: &'a Routes,
    /// When it is given up.
    pub(in crate::traffic) deadline: Deadline,
    /// How many nodes it has passed.
    pub(in crate::traffic) hop: u32,
    /// How urgent it is by the route of the first hop, if that said so.
    pub(in crate::traffic) class: Option<Class>,
    /// Its kind by the route of the first hop, if that said so.
    pub(in crate::traffic) kind: Option<KindName>,
    /// Until when its answer is worth most to its caller.
    pub(in crate::traffic) aim: Option<Tick>,
    /// Whether nobody else is asked for room after this.
    pub(in crate::traffic) settles: bool,
    /// What it asks for, if the node of the first hop said so.
    pub(in crate::traffic) content: Option<Content>,
    /// The life of the target that it is meant for, where lives are told apart.
    pub(in crate::traffic) life: Option<HeaderValue>,
    /// Whether it is meant for the service that the settings give the own target.
    pub(in crate::traffic) for_own_service: bool,
    /// The service beside whose target it began.
    pub(in crate::traffic) origin: Option<HeaderValue>,
}

impl Call<'_> {
    /// What admission is asked for it.
    pub(in crate::traffic) fn ask<'a>(
        &'a self,
        class: Class,
        limits: &'a Limits,
    ) -> AdmissionRequest<'a> {
        AdmissionRequest {
            kind: self.kind.as_ref(),
            soft_deadline: self.aim,
            last_resort: self.settles,
            ..Stage::received(class, self.deadline).admission_request(limits)
        }
    }
}

/// Runs a request in the own target.
///
/// # Errors
///
/// A refusal was not handed over; anything later is a loss.
pub(in crate::traffic) async fn run(
    worker: &Worker,
    req: Request<Payload>,
    call: Call<'_>,
) -> Result<Response<Answer>, Missed> {
    let hub = &worker.hub;
    let checked = hub.check_quarantine(Step::Admission, call.content.as_ref());
    let service = match checked.and_then(|()| own_service(worker, &call)) {
        Ok(service) => service,
        Err(refusal) => return Err(Missed::unsent(refusal, req)),
    };
    let has_key = req.headers().contains_key(names::IDEMPOTENCY_KEY);
    let has_homes = call.routes.view.snapshot.has_homes();
    let route = match call.class {
        Some(_) if !has_key && !has_homes => None,
        _ => own_route(&req, service, &call),
    };
    // The node that sent it may route by an earlier catalogue.
    if route.is_some_and(|route| !route.homes.allows(&hub.region)) {
        return Err(Missed::unsent(refuse(Reason::OutsideHomes), req));
    }
    let listed = call.routes.own().map(|(endpoint, _)| &endpoint.instance);
    let slots = listed.map(|instance| instance.slots);
    if let Some(life) = listed.and_then(|instance| instance.target.as_ref()) {
        worker.hub.follow_target(life);
    }
    let by_route = route.map_or(service.entry.class, |route| route.class);
    let class = call.class.unwrap_or(by_route);
    let running = match begin(worker, route, &req) {
        Begun::Run(running) => running,
        Begun::Answer(stored) => return Ok(stored_answer::respond(&stored)),
        Begun::Refuse(refusal) => return Err(refusal.into()),
    };
    let facts = Facts {
        class,
        kind: call.kind.clone(),
        content: call.content,
        life: call.life.clone(),
        deadline: call.deadline,
        aim: call.aim,
        list: call.routes.view.snapshot.instances().revision().get(),
    };
    let cold = cold_limit(worker, service, &call);
    let at_target = AtTarget {
        worker,
        req,
        call,
        key: UnsentKey::new(running),
    };
    let limits = &service.entry.limits;
    let trail = BesideTrail::new(worker, facts, at_target.id());
    let ran = at_target.run(class, limits, slots, cold).await;
    trail.end(&ran);
    let mut res = ran?;
    add_load(worker, res.headers_mut());
    Ok(res)
}

/// Whether a request with a long body would find room, before the body is sent.
///
/// # Errors
///
/// Tells what the request itself would be told.
pub(in crate::traffic) fn room(worker: &Worker, call: &Call<'_>) -> Result<(), Refusal> {
    let content = call.content.as_ref();
    worker.hub.check_quarantine(Step::Admission, content)?;
    let service = own_service(worker, call)?;
    let class = call.class.unwrap_or(service.entry.class);
    let mut ask = call.ask(class, &service.entry.limits);
    ask.cold_limit = cold_limit(worker, service, call);
    let now = worker.hub.shared.clock().now();
    match worker.hub.admission.predict_refusal(now, &ask) {
        Some(refusal) => Err(refusal),
        None => worker.hub.arrivals.enter().map(drop),
    }
}

/// What the own target bears, if it is cold.
fn cold_limit(worker: &Worker, service: &BoundService, call: &Call<'_>) -> Option<ColdLimit> {
    let shared = &worker.hub.shared;
    let start = service.entry.cold_start.as_ref();
    let life = call.life.as_ref().and_then(|life| life.to_str().ok());
    let tolerance = worker.hub.cold_tolerance;
    let now = shared.clock().now();
    shared.coldness().limit(now, start, tolerance, life)
}

/// The service of the own target, if that takes work.
fn own_service<'a>(worker: &Worker, call: &Call<'a>) -> Result<&'a BoundService, Refusal> {
    if let Some(reason) = closed(worker) {
        return Err(refuse(reason));
    }
    let listed = call.routes.own().map(|(_, service)| service);
    let by_name = || call.routes.view.snapshot.find_service(&worker.hub.service);
    let service = listed.or_else(|| by_name().map(|(_, service)| service));
    service.ok_or_else(|| refuse(Reason::NoConfiguration))
}

/// Whether a request is run, by its key if it has one.
#[derive(Debug)]
enum Begun {
    Run(Option<RunPermit>),
    Answer(Arc<StoredAnswer>),
    Refuse(Refusal),
}

fn begin(worker: &Worker, route: Option<&Route>, req: &Request<Payload>) -> Begun {
    let hub = &worker.hub;
    if route.is_some_and(|route| route.idempotent) {
        return Begun::Run(None);
    }
    let keyed = match Keyed::of(&hub.service, req) {
        Ok(Some(keyed)) => keyed,
        Ok(None) => return Begun::Run(None),
        Err(refusal) => return Begun::Refuse(refusal),
    };
    let now = hub.shared.clock().now();
    match hub.repeat.begin_attempt(now, keyed.key, keyed.attempt) {
        AttemptDecision::Run(running) => Begun::Run(Some(running)),
        AttemptDecision::Answer(stored) => Begun::Answer(stored),
        AttemptDecision::Refuse(refusal) => Begun::Refuse(refusal),
    }
}

/// Why the own endpoint takes no work, if it doesn't.
fn closed(worker: &Worker) -> Option<Reason> {
    if worker.hub.is_leaving() || worker.hub.has_departed() {
        return Some(Reason::Draining);
    }
    if worker.hub.shared.is_evacuated() {
        return Some(Reason::Evacuated);
    }
    let starting = worker.hub.shared.phase() == Phase::Starting;
    starting.then_some(Reason::Starting)
}

/// The route by the own view, if it leads here. The first hop may have routed
/// by another version of the catalogue, in which the path led to this service.
fn own_route<'a>(
    req: &Request<Payload>,
    service: &BoundService,
    call: &Call<'a>,
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

/// Puts the load beside the target on an answer.
pub(in crate::traffic) fn add_load(worker: &Worker, headers: &mut HeaderMap) {
    let load = worker.hub.admission.load().to_string();
    if let Ok(value) = load.try_into() {
        headers.insert(names::LOAD, value);
    }
    let shared = &worker.hub.shared;
    let cold = shared.coldness().left(shared.clock().now()).as_millis();
    if cold > 0 {
        let cold = u64::try_from(cold).unwrap_or(u64::MAX);
        headers.insert(names::COLD_MS, HeaderValue::from(cold));
    }
}

fn refuse(reason: Reason) -> Refusal {
    Refusal::not_run(Step::Admission, reason)
}
