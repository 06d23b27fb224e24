//! Conversion of caller records and target ledgers to events of the history
//! checker.

use std::collections::HashMap;

use sassafrasspool_core::InstanceId;
use sassafrasspool_core::Tick;
use sassafrasspool_core::history::Event;
use sassafrasspool_core::history::History;
use sassafrasspool_core::history::OperationId;
use sassafrasspool_core::history::RequestId;
use sassafrasspool_standin::target::RunEnd;

use super::log::Log;
use crate::load::CallRecord;
use crate::load::Ending;
use crate::load::LedgerRun;

/// A run that was cut this shortly before the end of a planned stop, in
/// microseconds, is attributed to the stop.
const MAX_CUT_BEFORE_STOP_US: u64 = 50_000;

/// Maps the ids that records and ledgers share to numbers.
#[derive(Debug, Default)]
struct IdNumbers<'a> {
    by_text: HashMap<&'a str, u64>,
}

impl<'a> IdNumbers<'a> {
    fn number_of(&mut self, text: &'a str) -> u64 {
        let next = u64::try_from(self.by_text.len()).unwrap_or(u64::MAX);
        *self.by_text.entry(text).or_insert(next)
    }
}

/// End of a planned stop of a node.
#[derive(Debug, Clone)]
pub struct NodeStop {
    /// The index of the instance.
    pub instance: usize,
    /// When the node's process had ended, in microseconds since the Unix epoch.
    pub at_us: u64,
}

/// Builds the history of a run from its log, the callers' records and the
/// targets' ledgers. A missing answer that an outage explains counts as an
/// unknown outcome: the caller saw the connection end.
pub fn build_history(
    log: &Log,
    records: &[CallRecord],
    runs: &[LedgerRun],
    names: &[InstanceId],
    stops: &[NodeStop],
    is_explained: impl Fn(&CallRecord) -> bool,
) -> History {
    let (mut history, _) = log.history_and_outages();
    let mut ids = IdNumbers::default();
    let mut calls = IdNumbers::default();
    for record in records {
        let request = RequestId(ids.number_of(&record.id));
        let operation = OperationId(calls.number_of(record.key.as_deref().unwrap_or(&record.id)));
        let repeatable = record.idempotent;
        let sent = Event::Sent {
            request,
            operation,
            repeatable,
        };
        history.record(Tick::from_micros(record.sent_us), sent);
        if let Some(end) = ending_event(record, request, is_explained(record)) {
            history.record(Tick::from_micros(record.ended_us), end);
        }
    }
    for run in runs.iter().filter(|run| run.run.began()) {
        let request = RequestId(ids.number_of(&run.run.id));
        let target = names[run.instance].clone();
        let started = Event::RunStarted {
            request,
            target: target.clone(),
        };
        history.record(Tick::from_micros(run.run.started_us), started);
        if let Some(ended_us) = run.run.ended_us {
            let at = match is_cut_by_stop(run, ended_us, stops) {
                true => ended_us + MAX_CUT_BEFORE_STOP_US,
                false => ended_us,
            };
            history.record(
                Tick::from_micros(at),
                Event::RunFinished { request, target },
            );
        }
    }
    history
}

fn ending_event(record: &CallRecord, request: RequestId, is_explained: bool) -> Option<Event> {
    let answered = |whole| Event::Answered {
        request,
        answers: request,
        whole,
    };
    match record.ending {
        Ending::Answered => Some(answered(true)),
        Ending::Wrong => Some(answered(false)),
        Ending::NotRun | Ending::NotSent => Some(Event::RefusedNotRun { request }),
        Ending::Unknown | Ending::Failed => Some(Event::Unknown { request }),
        Ending::Broken | Ending::Silence if is_explained => Some(Event::Unknown { request }),
        Ending::Broken | Ending::Silence => None,
    }
}

fn is_cut_by_stop(run: &LedgerRun, ended_us: u64, stops: &[NodeStop]) -> bool {
    let is_cut = matches!(run.run.end, RunEnd::Cancelled | RunEnd::AnswerCut);
    is_cut
        && stops.iter().any(|stop| {
            stop.instance == run.instance
                && ended_us <= stop.at_us
                && stop.at_us - ended_us < MAX_CUT_BEFORE_STOP_US
        })
}
