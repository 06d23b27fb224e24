//! Access log lines of one request on the caller's node.

use http::HeaderValue;
use http::Request;
use http::Response;
use sassafrasspool_core::Content;
use sassafrasspool_core::Deadline;
use sassafrasspool_core::EndpointKey;
use sassafrasspool_core::Failure;
use sassafrasspool_core::Loss;
use sassafrasspool_core::LossCause;
use sassafrasspool_core::Picked;
use sassafrasspool_core::Refusal;
use sassafrasspool_core::Route;
use sassafrasspool_core::Step;
use sassafrasspool_core::Tick;
use sassafrasspool_wire::header::REQUEST_ID;
use sassafrasspool_wire::log::ENDED_AT_CALLER;
use sassafrasspool_wire::log::FAILED_ATTEMPT;
use sassafrasspool_wire::log::RequestLine;

use crate::Routes;
use crate::Shared;
use crate::log::LoggedOutcome;
use crate::log::Rank;
use crate::log::micros;
use crate::log::unix_ms;
use crate::log::with_outcome;
use crate::traffic::answer_body::AnswerBody;
use crate::traffic::outbound::first_hop::FirstHop;
use crate::traffic::worker::Worker;

/// The inputs that a request is routed by.
#[derive(Debug)]
pub(in crate::traffic) struct RequestContext<'a> {
    pub(in crate::traffic) worker: &'a Worker,
    pub(in crate::traffic) routes: &'a Routes,
    pub(in crate::traffic) route: &'a Route,
    pub(in crate::traffic) deadline: Deadline,
    /// Soft deadline: the moment until which the answer is worth most.
    pub(in crate::traffic) soft_deadline: Option<Tick>,
    /// Fingerprint of the request's content.
    pub(in crate::traffic) content: Option<&'a Content>,
}

/// Logs the attempts and the end of one request.
///
/// Dropping a value whose end hasn't been logged writes the end line. So a request whose
/// task is dropped, for example because its caller disconnects, is logged as well.
#[derive(Debug)]
pub(in crate::traffic) struct RequestLogger<'a> {
    first: &'a FirstHop<'a>,
    /// `None` if the log is silent or the end line was written.
    id: Option<HeaderValue>,
    started_at: Tick,
    attempts: u32,
    picked: Option<PickedEndpoint>,
}

/// The endpoint of the current attempt.
#[derive(Debug)]
struct PickedEndpoint {
    endpoint: EndpointKey,
    load_percent: u32,
    picked_at: Tick,
}

impl<'a> RequestLogger<'a> {
    pub(in crate::traffic) fn new<B>(
        first: &'a FirstHop<'a>,
        req: &Request<B>,
    ) -> RequestLogger<'a> {
        let worker = first.context().worker;
        RequestLogger {
            first,
            id: logged_request_id(worker, req),
            started_at: worker.hub.shared.clock().now(),
            attempts: 0,
            picked: None,
        }
    }

    /// Records the endpoint of the next attempt.
    pub(in crate::traffic) fn record_pick(&mut self, picked: &Picked) {
        self.attempts += 1;
        self.picked = Some(PickedEndpoint {
            endpoint: picked.endpoint(),
            load_percent: picked.load_percent(),
            picked_at: picked.picked_at(),
        });
    }

    /// Logs an attempt that got no answer.
    pub(in crate::traffic) fn log_failed_attempt(&mut self, failure: &Failure) {
        let since = self
            .picked
            .as_ref()
            .map_or(self.started_at, |picked| picked.picked_at);
        if let Some(line) = self.line(FAILED_ATTEMPT, since) {
            let log = self.first.context().worker.hub.shared.log();
            log.write(Rank::Failure, &with_outcome(line, failure.into()));
        }
    }

    /// Logs the end of the request.
    pub(in crate::traffic) fn log_end(mut self, ended: &Result<Response<AnswerBody>, Failure>) {
        if let Some(mut line) = self.line(ENDED_AT_CALLER, self.started_at) {
            let is_success = ended
                .as_ref()
                .is_ok_and(|res| !res.status().is_server_error());
            let rank = match is_success && self.attempts <= 1 {
                true => Rank::Success,
                false => Rank::Failure,
            };
            line.status = ended.as_ref().ok().map(|res| res.status().as_u16());
            let outcome = ended
                .as_ref()
                .map_or_else(LoggedOutcome::from, |_| LoggedOutcome::ANSWERED);
            let log = self.first.context().worker.hub.shared.log();
            log.write(rank, &with_outcome(line, outcome));
        }
        self.id = None;
    }

    fn line(&self, event: &'static str, since: Tick) -> Option<RequestLine<'_>> {
        let id = self.id.as_ref()?;
        let context = self.first.context();
        let shared = &context.worker.hub.shared;
        let now = shared.clock().now();
        let snapshot = &context.routes.view.snapshot;
        let picked = self.picked.as_ref();
        let endpoint = picked.and_then(|picked| snapshot.endpoint(picked.endpoint));
        let instance = endpoint.map(|endpoint| &endpoint.instance);
        let generation = instance.and_then(|instance| instance.target.as_ref());
        Some(RequestLine {
            unix_ms: unix_ms(),
            node: shared.me().as_str().into(),
            event: event.into(),
            request: String::from_utf8_lossy(id.as_bytes()),
            content: context.content.map(|content| content.to_string().into()),
            kind: Some(context.route.kind.as_str().into()),
            class: Some(context.route.class.as_str().into()),
            instance: instance.map(|instance| instance.id.as_str().into()),
            life: generation.map(|generation| generation.id.as_str().into()),
            try_number: Some(self.attempts),
            load_percent: picked.map(|picked| picked.load_percent),
            took_us: micros(now.since(since)),
            left_us: micros(context.deadline.remaining(now)),
            aim_left_us: context
                .soft_deadline
                .map(|deadline| micros(deadline.since(now))),
            ..version_fields(shared, Some(context.routes))
        })
    }
}

impl Drop for RequestLogger<'_> {
    fn drop(&mut self) {
        if let Some(line) = self.line(ENDED_AT_CALLER, self.started_at) {
            let caller_gone = Failure::from(Loss::new(Step::Forward, LossCause::CallerGone));
            let log = self.first.context().worker.hub.shared.log();
            log.write(Rank::Failure, &with_outcome(line, (&caller_gone).into()));
        }
    }
}

/// The request id for log lines; `None` if the log is silent or the request has no id.
pub(in crate::traffic) fn logged_request_id<B>(
    worker: &Worker,
    req: &Request<B>,
) -> Option<HeaderValue> {
    let id = req.headers().get(REQUEST_ID);
    id.filter(|_| !worker.hub.shared.log().is_silent()).cloned()
}

/// The versions that a request was routed by, their ages, and the newest advertised
/// catalogue.
///
/// A request without a matching route, or one that exceeds the timeout of its route, may
/// have reached a stale node. The line shows this: a newer catalogue than the one in force
/// has been advertised to the node, or nothing has been for a long time.
///
/// The time since the last contact with the platform isn't enough, since each stream is
/// read separately. A list that hasn't been confirmed for a long time may be in force
/// together with a current catalogue.
fn version_fields<'a>(shared: &Shared, routes: Option<&Routes>) -> RequestLine<'a> {
    let now = shared.clock().now();
    let millis = |age| micros(age) / 1_000;
    let snapshot = routes.map(|routes| &routes.view.snapshot);
    let catalogue = snapshot.map(|snapshot| snapshot.catalogue().revision().get());
    let in_force = shared.catalogue_in_force().revision_and_age(now);
    let in_force = in_force.filter(|(revision, _)| Some(*revision) == catalogue);
    let advertised = shared.advertised_catalogue().revision_and_age(now);
    let advertised = advertised.filter(|(revision, _)| Some(*revision) != catalogue);
    let list = snapshot.map(|snapshot| snapshot.instances().revision().get());
    let confirmed = shared.list_proof().revision_and_age(now);
    let confirmed = confirmed.filter(|(revision, _)| Some(*revision) == list);
    RequestLine {
        catalogue,
        catalogue_ms: in_force.map(|(_, age)| millis(age)),
        heard: advertised.map(|(revision, _)| revision),
        heard_ms: advertised.map(|(_, age)| millis(age)),
        list,
        list_ms: confirmed.map(|(_, age)| millis(age)),
        contact_ms: shared.contact().age(now).map(millis),
        ..RequestLine::default()
    }
}

/// Logs a request that was refused before a route was matched, or because none matches in
/// the `routes` in force.
pub(in crate::traffic) fn log_unrouted(
    worker: &Worker,
    id: Option<&HeaderValue>,
    routes: Option<&Routes>,
    refusal: Refusal,
) {
    let Some(id) = id else { return };
    let shared = &worker.hub.shared;
    let line = RequestLine {
        unix_ms: unix_ms(),
        node: shared.me().as_str().into(),
        event: ENDED_AT_CALLER.into(),
        request: String::from_utf8_lossy(id.as_bytes()),
        ..version_fields(shared, routes)
    };
    let failure = Failure::from(refusal);
    shared
        .log()
        .write(Rank::Failure, &with_outcome(line, (&failure).into()));
}
