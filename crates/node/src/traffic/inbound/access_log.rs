//! The log line of a request on the target's node.

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
use sassafrasspool_wire::log::ENDED_AT_TARGET;
use sassafrasspool_wire::log::RequestLine;

use crate::log::LoggedOutcome;
use crate::log::Rank;
use crate::log::micros;
use crate::log::unix_ms;
use crate::log::with_outcome;
use crate::traffic::answer_body::AnswerBody;
use crate::traffic::failed_attempt::FailedAttempt;
use crate::traffic::worker::Worker;

/// What the log line contains besides the id and the outcome of the request.
#[derive(Debug)]
pub(in crate::traffic) struct Facts {
    pub(in crate::traffic) class: Class,
    pub(in crate::traffic) kind: Option<KindName>,
    pub(in crate::traffic) content: Option<Content>,
    pub(in crate::traffic) generation: Option<HeaderValue>,
    pub(in crate::traffic) deadline: Deadline,
    /// The soft deadline: until then the answer is worth most.
    pub(in crate::traffic) soft_deadline: Option<Tick>,
    /// The revision of the instance list in force.
    pub(in crate::traffic) list_revision: u64,
}

/// Writes the log line of a request on the target's node.
///
/// The task of a request is dropped if its caller disconnects while the request
/// is queued or runs. Such a request is logged as well: its line is written when
/// this is dropped without an outcome.
#[derive(Debug)]
pub(in crate::traffic) struct InboundLogEntry<'a> {
    worker: &'a Worker,
    facts: Facts,
    /// The request id; `None` if the log is disabled or the line is written.
    id: Option<HeaderValue>,
    started: Tick,
}

impl<'a> InboundLogEntry<'a> {
    pub(in crate::traffic) fn new(
        worker: &'a Worker,
        facts: Facts,
        id: Option<HeaderValue>,
    ) -> InboundLogEntry<'a> {
        let shared = &worker.hub.shared;
        InboundLogEntry {
            worker,
            facts,
            id: id.filter(|_| !shared.log().is_silent()),
            started: shared.clock().now(),
        }
    }

    /// Writes the line with the outcome of the request.
    pub(in crate::traffic) fn finish(
        mut self,
        result: &Result<Response<AnswerBody>, FailedAttempt>,
    ) {
        let (rank, outcome) = match result {
            Ok(_) => (Rank::Success, LoggedOutcome::ANSWERED),
            Err(failed) => (Rank::Failure, (&failed.failure).into()),
        };
        let status = result.as_ref().ok().map(|res| res.status().as_u16());
        self.write(rank, outcome, status);
        self.id = None;
    }

    fn write(&self, rank: Rank, outcome: LoggedOutcome, status: Option<u16>) {
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
            event: ENDED_AT_TARGET.into(),
            request: text(id).into(),
            content: facts.content.map(|content| content.to_string().into()),
            kind: facts.kind.as_ref().map(|kind| kind.as_str().into()),
            class: Some(facts.class.as_str().into()),
            life: facts.generation.as_ref().map(|name| text(name).into()),
            status,
            took_us: micros(now.since(self.started)),
            load: Some([load.in_flight, load.slots, load.queued]),
            recent: u32::try_from(hub.admission.recent_admissions(now)).ok(),
            cold_us: Some(micros(shared.cold_tracker().cold_left(now))).filter(|us| *us > 0),
            left_us: micros(facts.deadline.remaining(now)),
            aim_left_us: facts.soft_deadline.map(|at| micros(at.since(now))),
            list: Some(facts.list_revision),
            ..RequestLine::default()
        };
        shared.log().write(rank, &with_outcome(line, outcome));
    }
}

impl Drop for InboundLogEntry<'_> {
    fn drop(&mut self) {
        let failure = Failure::from(Loss::new(Step::Forward, LossCause::CallerGone));
        self.write(Rank::Failure, (&failure).into(), None);
    }
}
