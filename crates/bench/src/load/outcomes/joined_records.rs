//! Joins callers' records with targets' ledgers and counts the outcomes.

use std::collections::BTreeMap;
use std::collections::HashMap;

use super::KindCount;
use super::LedgerRun;
use super::Outage;
use super::OutageKind;
use super::Verdict;
use crate::load::CallRecord;
use crate::load::Ending;

/// How long after the end of an outage a call may still fail because of it, in
/// microseconds. A dead connection is detected only when it is used.
const OUTAGE_DETECTION_US: u64 = 200_000;

/// How soon after sending a caller sees that the node closed the idle connection
/// while the request was on its way, in microseconds. A request that the node has
/// read is answered or cut much later.
const CLOSE_DETECTION_US: u64 = 20_000;

/// Counts the outcomes of the attempts in `records`, checked against the targets'
/// ledgers. `outages` are the injected faults. They explain missing and broken answers
/// of the attempts that they affected, but never a false refusal or a second run.
pub fn count_outcomes(records: &[CallRecord], runs: &[LedgerRun], outages: &[Outage]) -> Verdict {
    JoinedRecords::new(records, runs, outages).verdict()
}

/// Callers' records joined with targets' ledgers.
#[derive(Debug)]
pub struct JoinedRecords<'a> {
    records: &'a [CallRecord],
    outages: &'a [Outage],
    by_id: HashMap<&'a str, Vec<&'a LedgerRun>>,
    by_call: HashMap<&'a str, Vec<&'a LedgerRun>>,
}

impl<'a> JoinedRecords<'a> {
    /// Joins the records with the runs that began. Other runs are left out.
    pub fn new(
        records: &'a [CallRecord],
        runs: &'a [LedgerRun],
        outages: &'a [Outage],
    ) -> JoinedRecords<'a> {
        let mut by_id: HashMap<&str, Vec<&LedgerRun>> = HashMap::new();
        let mut by_call: HashMap<&str, Vec<&LedgerRun>> = HashMap::new();
        for run in runs.iter().filter(|run| run.run.began()) {
            let call = run.run.key.as_ref().unwrap_or(&run.run.id);
            by_id.entry(&run.run.id).or_default().push(run);
            by_call.entry(call).or_default().push(run);
        }
        JoinedRecords {
            records,
            outages,
            by_id,
            by_call,
        }
    }

    /// Counts the outcomes of all attempts.
    pub fn verdict(&self) -> Verdict {
        let mut verdict = Verdict {
            sent: u64::try_from(self.records.len()).unwrap_or(u64::MAX),
            doubled: self.count_doubled(),
            ..Verdict::default()
        };
        for record in self.records {
            self.count(record, &mut verdict);
        }
        verdict.served_weighted_by_kind = count_by_kind(self.records);
        verdict.served_weighted = served_share(verdict.served_weighted_by_kind.values());
        verdict
    }

    /// The attempts that were lost, cut or falsely refused.
    pub fn faults(&self) -> impl Iterator<Item = &'a CallRecord> {
        self.records.iter().filter(|record| {
            let mut verdict = Verdict::default();
            self.count(record, &mut verdict);
            verdict.has_fault()
        })
    }

    /// The number of requests that aren't idempotent and began more than once.
    fn count_doubled(&self) -> u64 {
        let once = self.records.iter().filter(|record| !record.idempotent);
        let mut calls: Vec<&str> = once.map(call_id).collect();
        calls.sort_unstable();
        calls.dedup();
        let doubled = calls.iter().filter(|call| self.runs_of(call).len() > 1);
        u64::try_from(doubled.count()).unwrap_or(u64::MAX)
    }

    fn count(&self, record: &CallRecord, verdict: &mut Verdict) {
        match record.ending {
            Ending::Answered if self.has_finished_run(record) => verdict.answered += 1,
            Ending::Answered => verdict.lost += 1,
            Ending::NotRun => self.count_refusal(record, verdict),
            Ending::Unknown => verdict.unknown += 1,
            Ending::Failed => verdict.failed += 1,
            Ending::NotSent => verdict.not_sent += 1,
            Ending::Wrong => verdict.cut += 1,
            Ending::Broken | Ending::Silence if self.is_explained_by_outage(record) => {
                verdict.unknown += 1;
                verdict.unknown_by_outage += 1;
            }
            Ending::Broken => verdict.cut += 1,
            Ending::Silence => verdict.lost += 1,
        }
    }

    fn count_refusal(&self, record: &CallRecord, verdict: &mut Verdict) {
        verdict.refused_not_run += 1;
        if self.by_id.contains_key(record.id.as_str()) {
            verdict.false_refusals += 1;
        } else if self.began_before(record) && !record.idempotent {
            verdict.refused_after_run += 1;
        }
    }

    /// Whether a run of the same request finished. An answer without such a run can't
    /// be genuine.
    fn has_finished_run(&self, record: &CallRecord) -> bool {
        let runs = self.runs_of(call_id(record));
        runs.iter().any(|run| run.run.finished)
    }

    fn began_before(&self, record: &CallRecord) -> bool {
        let runs = self.runs_of(call_id(record));
        runs.iter().any(|run| run.run.started_us < record.ended_us)
    }

    /// Whether an outage explains the end of the attempt: the node that it was sent
    /// to, or an instance that ran it, had an outage while the attempt was in flight
    /// or shortly before.
    pub fn is_explained_by_outage(&self, record: &CallRecord) -> bool {
        let during = |outage: &&Outage| {
            let to_us = outage.to_us.saturating_add(OUTAGE_DETECTION_US);
            outage.from_us <= record.ended_us && record.sent_us <= to_us
        };
        let runs = self.runs_of(call_id(record));
        let ran_on = |instance| runs.iter().any(|run| run.instance == instance);
        let crossed_close =
            runs.is_empty() && record.ended_us < record.sent_us + CLOSE_DETECTION_US;
        self.outages.iter().filter(during).any(|outage| {
            let sent_to_node = record.entry == Some(outage.entry);
            match outage.kind {
                OutageKind::IdleConnectionsClosed => sent_to_node && crossed_close,
                kind => (sent_to_node && kind.affects_node()) || ran_on(outage.instance),
            }
        })
    }

    fn runs_of(&self, call: &str) -> &[&'a LedgerRun] {
        self.by_call.get(call).map_or(&[], Vec::as_slice)
    }
}

/// What identifies the request in the ledgers: its key, or its id if it has none.
fn call_id(record: &CallRecord) -> &str {
    record.key.as_deref().unwrap_or(&record.id)
}

fn count_by_kind(records: &[CallRecord]) -> BTreeMap<&'static str, KindCount> {
    let mut answered: BTreeMap<(&'static str, &str), bool> = BTreeMap::new();
    let mut weights = BTreeMap::new();
    for record in records {
        weights.insert(record.kind, record.weight);
        let call = record.id.rsplit_once('-').map_or("", |(call, _)| call);
        *answered.entry((record.kind, call)).or_default() |= record.ending == Ending::Answered;
    }
    let mut kinds: BTreeMap<&'static str, KindCount> = BTreeMap::new();
    for ((kind, _), answered) in answered {
        let weight = weights[kind];
        let count = kinds.entry(kind).or_default();
        count.weight = weight;
        count.calls += 1;
        count.answered += u64::from(answered);
        count.served += u64::from(answered) * u64::from(weight);
    }
    kinds
}

fn served_share<'a>(kinds: impl Iterator<Item = &'a KindCount>) -> f64 {
    let mut served = 0;
    let mut total = 0;
    for kind in kinds {
        served += kind.served;
        total += kind.calls * u64::from(kind.weight);
    }
    match total {
        0 => 0.0,
        total => served as f64 / total as f64,
    }
}
