//! The log's lines of one request on the node that took it from its caller.

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
use sassafrasspool_wire::log::ENDED;
use sassafrasspool_wire::log::RequestLine;
use sassafrasspool_wire::log::TRIED;

use crate::Routes;
use crate::Shared;
use crate::log::Rank;
use crate::log::Told;
use crate::log::micros;
use crate::log::unix_ms;
use crate::log::with_outcome;
use crate::traffic::answer::Answer;
use crate::traffic::outbound::first_hop::FirstHop;
use crate::traffic::worker::Worker;

/// What a request's decisions are made from.
#[derive(Debug)]
pub(in crate::traffic) struct Facts<'a> {
    pub(in crate::traffic) worker: &'a Worker,
    pub(in crate::traffic) routes: &'a Routes,
    pub(in crate::traffic) route: &'a Route,
    pub(in crate::traffic) deadline: Deadline,
    /// Until when the answer is worth most.
    pub(in crate::traffic) aim: Option<Tick>,
    /// What it asks for.
    pub(in crate::traffic) content: Option<&'a Content>,
}

/// What happened to a request so far.
///
/// A request whose task is dropped, as when its caller leaves, has its line as
/// well: the trail writes it when it is dropped without an end.
#[derive(Debug)]
pub(in crate::traffic) struct Trail<'a> {
    first: &'a FirstHop<'a>,
    /// Nothing if nothing is written, or everything is.
    id: Option<HeaderValue>,
    begun: Tick,
    tries: u32,
    picked: Option<Chosen>,
}

/// The endpoint of the present try.
#[derive(Debug)]
struct Chosen {
    endpoint: EndpointKey,
    load_percent: u32,
    since: Tick,
}

impl<'a> Trail<'a> {
    pub(in crate::traffic) fn new<B>(first: &'a FirstHop<'a>, req: &Request<B>) -> Trail<'a> {
        let worker = first.facts().worker;
        Trail {
            first,
            id: written_id(worker, req),
            begun: worker.hub.shared.clock().now(),
            tries: 0,
            picked: None,
        }
    }

    /// Notes the endpoint of the next try.
    pub(in crate::traffic) fn pick(&mut self, picked: &Picked) {
        self.tries += 1;
        self.picked = Some(Chosen {
            endpoint: picked.endpoint(),
            load_percent: picked.load_percent(),
            since: picked.picked_at(),
        });
    }

    /// Tells of a try that brought no answer.
    pub(in crate::traffic) fn miss(&mut self, failure: &Failure) {
        let since = self
            .picked
            .as_ref()
            .map_or(self.begun, |picked| picked.since);
        if let Some(line) = self.line(TRIED, since) {
            let log = self.first.facts().worker.hub.shared.log();
            log.write(Rank::Failure, &with_outcome(line, failure.into()));
        }
    }

    /// Tells how the request ended.
    pub(in crate::traffic) fn end(mut self, ended: &Result<Response<Answer>, Failure>) {
        if let Some(mut line) = self.line(ENDED, self.begun) {
            let plain = ended
                .as_ref()
                .is_ok_and(|res| !res.status().is_server_error());
            let rank = match plain && self.tries <= 1 {
                true => Rank::Success,
                false => Rank::Failure,
            };
            line.status = ended.as_ref().ok().map(|res| res.status().as_u16());
            let how = ended.as_ref().map_or_else(Told::from, |_| Told::ANSWERED);
            let log = self.first.facts().worker.hub.shared.log();
            log.write(rank, &with_outcome(line, how));
        }
        self.id = None;
    }

    fn line(&self, event: &'static str, since: Tick) -> Option<RequestLine<'_>> {
        let id = self.id.as_ref()?;
        let facts = self.first.facts();
        let shared = &facts.worker.hub.shared;
        let now = shared.clock().now();
        let snapshot = &facts.routes.view.snapshot;
        let picked = self.picked.as_ref();
        let endpoint = picked.and_then(|picked| snapshot.endpoint(picked.endpoint));
        let instance = endpoint.map(|endpoint| &endpoint.instance);
        let life = instance.and_then(|instance| instance.target.as_ref());
        Some(RequestLine {
            unix_ms: unix_ms(),
            node: shared.me().as_str().into(),
            event: event.into(),
            request: String::from_utf8_lossy(id.as_bytes()),
            content: facts.content.map(|content| content.to_string().into()),
            kind: Some(facts.route.kind.as_str().into()),
            class: Some(facts.route.class.as_str().into()),
            instance: instance.map(|instance| instance.id.as_str().into()),
            life: life.map(|life| life.id.as_str().into()),
            try_number: Some(self.tries),
            load_percent: picked.map(|picked| picked.load_percent),
            took_us: micros(now.since(since)),
            left_us: micros(facts.deadline.remaining(now)),
            aim_left_us: facts.aim.map(|aim| micros(aim.since(now))),
            ..versions(shared, Some(facts.routes))
        })
    }
}

impl Drop for Trail<'_> {
    fn drop(&mut self) {
        if let Some(line) = self.line(ENDED, self.begun) {
            let gone = Failure::from(Loss::new(Step::Forward, LossCause::CallerGone));
            let log = self.first.facts().worker.hub.shared.log();
            log.write(Rank::Failure, &with_outcome(line, (&gone).into()));
        }
    }
}

/// The id under which the log tells of a request, if anything is written.
pub(in crate::traffic) fn written_id<B>(worker: &Worker, req: &Request<B>) -> Option<HeaderValue> {
    let id = req.headers().get(REQUEST_ID);
    id.filter(|_| !worker.hub.shared.log().is_silent()).cloned()
}

/// What a request was routed by, how new that was, and what the node had heard of.
///
/// A caller that is told that its route doesn't exist, or that waits past the time
/// of its route, may have met a node that was behind. The line shows it: the node
/// has heard of a newer catalogue than the one in force, or of nothing for long.
///
/// Contact with the platform alone doesn't show it, since each stream is read by
/// itself: a list that nobody has vouched for in long may stand beside a catalogue of
/// this moment.
fn versions<'a>(shared: &Shared, routes: Option<&Routes>) -> RequestLine<'a> {
    let now = shared.clock().now();
    let millis = |age| micros(age) / 1_000;
    let snapshot = routes.map(|routes| &routes.view.snapshot);
    let catalogue = snapshot.map(|snapshot| snapshot.catalogue().revision().get());
    let in_force = shared.in_force().current(now);
    let in_force = in_force.filter(|(revision, _)| Some(*revision) == catalogue);
    let heard = shared.heard().current(now);
    let heard = heard.filter(|(revision, _)| Some(*revision) != catalogue);
    let list = snapshot.map(|snapshot| snapshot.instances().revision().get());
    let proved = shared.proved_list().current(now);
    let proved = proved.filter(|(revision, _)| Some(*revision) == list);
    RequestLine {
        catalogue,
        catalogue_ms: in_force.map(|(_, age)| millis(age)),
        heard: heard.map(|(revision, _)| revision),
        heard_ms: heard.map(|(_, age)| millis(age)),
        list,
        list_ms: proved.map(|(_, age)| millis(age)),
        contact_ms: shared.contact().age(now).map(millis),
        ..RequestLine::default()
    }
}

/// Tells of a request that was refused before it had a route, or as one that has
/// none by the `routes` in force.
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
        event: ENDED.into(),
        request: String::from_utf8_lossy(id.as_bytes()),
        ..versions(shared, routes)
    };
    let failure = Failure::from(refusal);
    shared
        .log()
        .write(Rank::Failure, &with_outcome(line, (&failure).into()));
}
