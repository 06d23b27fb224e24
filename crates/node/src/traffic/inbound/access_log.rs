//! The log's line of one request on the node beside its target.

use http::HeaderValue;
use http::Response;
use sassafrasspool_core::Class;
use sassafrasspool_core::Content;
use sassafrasspool_core::Deadline;
use sassafrasspool_core::Failure;
use sassafrasspool_core::KindName;
use sassafrasspool_core::Loss;
use sassafrasspool_core::LossCause;
use sassafrasspool_core::Step;
use sassafrasspool_core::Tick;
use sassafrasspool_wire::log::BESIDE;
use sassafrasspool_wire::log::RequestLine;

use crate::log::Rank;
use crate::log::Told;
use crate::log::micros;
use crate::log::unix_ms;
use crate::log::with_outcome;
use crate::traffic::answer::Answer;
use crate::traffic::missed::Missed;
use crate::traffic::worker::Worker;

/// What the line tells besides the request's end.
#[derive(Debug)]
pub(in crate::traffic) struct Facts {
    pub(in crate::traffic) class: Class,
    pub(in crate::traffic) kind: Option<KindName>,
    pub(in crate::traffic) content: Option<Content>,
    pub(in crate::traffic) life: Option<HeaderValue>,
    pub(in crate::traffic) deadline: Deadline,
    /// Until when the answer is worth most.
    pub(in crate::traffic) aim: Option<Tick>,
    /// The revision of the list in force.
    pub(in crate::traffic) list: u64,
}

/// What happens to a request beside its target.
///
/// A request whose task is dropped, as when its caller leaves while it waits or
/// runs, has its line as well: it is written when this is dropped without an
/// end.
#[derive(Debug)]
pub(in crate::traffic) struct BesideTrail<'a> {
    worker: &'a Worker,
    facts: Facts,
    /// Nothing if nothing is written, or everything is.
    id: Option<HeaderValue>,
    begun: Tick,
}

impl<'a> BesideTrail<'a> {
    pub(in crate::traffic) fn new(
        worker: &'a Worker,
        facts: Facts,
        id: Option<HeaderValue>,
    ) -> BesideTrail<'a> {
        let shared = &worker.hub.shared;
        BesideTrail {
            worker,
            facts,
            id: id.filter(|_| !shared.log().is_silent()),
            begun: shared.clock().now(),
        }
    }

    /// Tells how the request ended.
    pub(in crate::traffic) fn end(mut self, ran: &Result<Response<Answer>, Missed>) {
        let (rank, how) = match ran {
            Ok(_) => (Rank::Success, Told::ANSWERED),
            Err(missed) => (Rank::Failure, (&missed.failure).into()),
        };
        let status = ran.as_ref().ok().map(|res| res.status().as_u16());
        self.write(rank, how, status);
        self.id = None;
    }

    fn write(&self, rank: Rank, how: Told, status: Option<u16>) {
        let Some(id) = &self.id else { return };
        let hub = &self.worker.hub;
        let shared = &hub.shared;
        let now = shared.clock().now();
        let load = hub.admission.load();
        let text = |value: &HeaderValue| String::from_utf8_lossy(value.as_bytes()).into_owned();
        let facts = &self.facts;
        let line = RequestLine {
            unix_ms: unix_ms(),
            node: shared.me().as_str().into(),
            event: BESIDE.into(),
            request: text(id).into(),
            content: facts.content.map(|content| content.to_string().into()),
            kind: facts.kind.as_ref().map(|kind| kind.as_str().into()),
            class: Some(facts.class.as_str().into()),
            life: facts.life.as_ref().map(|life| text(life).into()),
            status,
            took_us: micros(now.since(self.begun)),
            load: Some([load.in_flight, load.slots, load.queued]),
            left_us: micros(facts.deadline.remaining(now)),
            aim_left_us: facts.aim.map(|aim| micros(aim.since(now))),
            list: Some(facts.list),
            ..RequestLine::default()
        };
        shared.log().write(rank, &with_outcome(line, how));
    }
}

impl Drop for BesideTrail<'_> {
    fn drop(&mut self) {
        let gone = Failure::from(Loss::new(Step::Forward, LossCause::CallerGone));
        self.write(Rank::Failure, (&gone).into(), None);
    }
}
