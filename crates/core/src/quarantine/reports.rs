//! The reports that a node keeps.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use super::Content;
use super::Fingerprint;
use super::Observation;
use super::QuarantineState;
use super::Report;
use super::ReportId;
use super::observed_at::ObservedAt;
use super::observed_at::REPORT_RETENTION;
use super::quarantine_state::ANSWER_EXEMPTION;
use super::quarantine_state::CRASHES_TO_SUSPECT;
use crate::Digest;
use crate::Tick;

/// The largest number of reports kept. Beyond it, the oldest of those that don't
/// contribute to the quarantine state are evicted first.
const MAX_REPORTS: usize = 512;

/// The largest number of requests in the report of one crash: all slots of a large target.
const MAX_CONTENTS_PER_CRASH: usize = 256;

/// The approximate bytes of reports in one anti-entropy message. Nodes that keep different
/// reports, since there are more than are kept, send this many bytes every few seconds.
const MAX_MESSAGE_BYTES: usize = 8 * 1024;

/// The approximate bytes of a report without its requests.
const REPORT_OVERHEAD_BYTES: usize = 32;

/// The bytes of one request in a report.
const CONTENT_BYTES: usize = 18;

/// The reports that a node has made or received.
///
/// # Invariants
///
/// A report is never changed: the first copy of it counts. `root` is a hash over the ids of
/// the kept reports, so that two nodes with the same root keep the same reports. `crashes`
/// counts for each request the crash reports that contain it. While `is_up_to_date`,
/// `state` follows from the reports.
#[derive(Debug, Default)]
pub(crate) struct Reports {
    reports: BTreeMap<ReportId, KeptReport>,
    root: u64,
    crashes: HashMap<Fingerprint, usize>,
    state: QuarantineState,
    is_up_to_date: bool,
}

#[derive(Debug)]
struct KeptReport {
    at: ObservedAt,
    observation: Observation,
}

impl Reports {
    /// Adds a report. Returns false if it is already kept or too old to count.
    pub(crate) fn merge(&mut self, now: Tick, report: &Report) -> bool {
        let age = Duration::from_millis(report.age_ms.into());
        let Some(at) = ObservedAt::from_age(now, age) else {
            return false;
        };
        if self.reports.contains_key(&report.id) {
            return false;
        }
        let mut observation = report.observation.clone();
        if let Observation::Crashed(ran) = &mut observation {
            ran.truncate(MAX_CONTENTS_PER_CRASH);
        }
        let kept = KeptReport { at, observation };
        // INVARIANT: A report enters the root once, when it is added.
        self.root ^= hash_id(&report.id);
        let contents = kept.contents();
        if kept.is_crash() {
            for content in &contents {
                *self.crashes.entry(*content).or_default() += 1;
            }
        }
        self.invalidate_state(&contents);
        self.reports.insert(report.id.clone(), kept);
        if self.reports.len() > MAX_REPORTS {
            self.evict_one();
        }
        true
    }

    /// Removes the reports that are too old to count.
    pub(crate) fn remove_expired(&mut self, now: Tick) {
        let is_old = |kept: &KeptReport| kept.at.age(now) >= REPORT_RETENTION;
        let old = self.reports.iter().filter(|(_, kept)| is_old(kept));
        let old: Vec<ReportId> = old.map(|(id, _)| id.clone()).collect();
        for id in old {
            self.remove(&id);
        }
    }

    fn remove(&mut self, id: &ReportId) {
        let Some(kept) = self.reports.remove(id) else {
            return;
        };
        // INVARIANT: A removed report leaves the root and the counts.
        self.root ^= hash_id(id);
        let contents = kept.contents();
        self.invalidate_state(&contents);
        if !kept.is_crash() {
            return;
        }
        for content in &contents {
            if let Some(crashes) = self.crashes.get_mut(content) {
                *crashes -= 1;
                if *crashes == 0 {
                    self.crashes.remove(content);
                }
            }
        }
    }

    /// Marks the state as outdated if a report of these contents, added or removed, may
    /// change it. Most reports contain only requests that were lost with a single target,
    /// and change nothing.
    fn invalidate_state(&mut self, contents: &BTreeSet<Fingerprint>) {
        let is_suspect = |content| {
            self.crashes
                .get(content)
                .is_some_and(|n| *n >= CRASHES_TO_SUSPECT)
        };
        self.is_up_to_date &= !contents.iter().any(is_suspect);
    }

    /// Evaluates the reports. Returns the previous and the new state if they differ.
    pub(crate) fn evaluate(&mut self) -> Option<(QuarantineState, &QuarantineState)> {
        if std::mem::replace(&mut self.is_up_to_date, true) {
            return None;
        }
        let mut crashes: Vec<(ObservedAt, &[Content])> = Vec::new();
        let mut exempt_until: HashMap<Fingerprint, ObservedAt> = HashMap::new();
        let mut exempt = |content: Fingerprint, until: ObservedAt| {
            let latest = exempt_until.entry(content).or_insert(until);
            *latest = until.max(*latest);
        };
        for kept in self.reports.values() {
            match &kept.observation {
                Observation::Crashed(ran) => crashes.push((kept.at, ran)),
                Observation::Answered(content) => {
                    exempt(*content, kept.at.later_by(ANSWER_EXEMPTION))
                }
                Observation::Released(content) => exempt(*content, kept.at),
            }
        }
        let state = QuarantineState::evaluate(&crashes, &exempt_until);
        if state == self.state {
            return None;
        }
        let before = std::mem::replace(&mut self.state, state);
        Some((before, &self.state))
    }

    /// The state after the last evaluation.
    pub(crate) fn state(&self) -> &QuarantineState {
        &self.state
    }

    /// A hash over the ids of all kept reports.
    pub(crate) fn root(&self) -> u64 {
        self.root
    }

    /// A report with its age at `now`, if it is kept.
    pub(crate) fn report_at(&self, now: Tick, id: &ReportId) -> Option<Report> {
        let kept = self.reports.get(id)?;
        Some(kept.report_at(now, id))
    }

    /// As many reports as fit into a message: the significant ones first, and of equally
    /// significant ones the newest first.
    pub(crate) fn reports_to_send(&self, now: Tick) -> Vec<Report> {
        let mut by_significance: Vec<(&ReportId, &KeptReport)> = self.reports.iter().collect();
        by_significance.sort_by_cached_key(|(_, kept)| (self.is_significant(kept), kept.at));
        let mut left = MAX_MESSAGE_BYTES;
        let mut selected = Vec::new();
        for (id, kept) in by_significance.into_iter().rev() {
            let Some(rest) = left.checked_sub(kept.bytes()) else {
                break;
            };
            left = rest;
            selected.push(kept.report_at(now, id));
        }
        selected
    }

    /// Whether the report contributes to the state: it is an answer or a release, or a crash
    /// report with a suspect request.
    fn is_significant(&self, kept: &KeptReport) -> bool {
        match &kept.observation {
            Observation::Answered(_) | Observation::Released(_) => true,
            Observation::Crashed(ran) => ran
                .iter()
                .flat_map(Content::fingerprints)
                .any(|content| self.state.is_suspect(content)),
        }
    }

    /// Evicts one report. Crashes of many targets without a common request must not evict
    /// the reports that contribute to the state.
    fn evict_one(&mut self) {
        let least = self
            .reports
            .iter()
            .min_by_key(|(_, kept)| (self.is_significant(kept), kept.at));
        let Some(id) = least.map(|(id, _)| id.clone()) else {
            return;
        };
        self.remove(&id);
    }
}

impl KeptReport {
    fn is_crash(&self) -> bool {
        matches!(self.observation, Observation::Crashed(_))
    }

    /// The fingerprints in the report, each once.
    fn contents(&self) -> BTreeSet<Fingerprint> {
        match &self.observation {
            Observation::Crashed(ran) => ran.iter().flat_map(Content::fingerprints).collect(),
            Observation::Answered(content) | Observation::Released(content) => {
                BTreeSet::from([*content])
            }
        }
    }

    fn report_at(&self, now: Tick, id: &ReportId) -> Report {
        let age_ms = self.at.age(now).as_millis();
        Report {
            id: id.clone(),
            age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
            observation: self.observation.clone(),
        }
    }

    /// The approximate bytes of the report in a message.
    fn bytes(&self) -> usize {
        match &self.observation {
            Observation::Crashed(ran) => REPORT_OVERHEAD_BYTES + CONTENT_BYTES * ran.len(),
            Observation::Answered(_) | Observation::Released(_) => {
                REPORT_OVERHEAD_BYTES + CONTENT_BYTES
            }
        }
    }
}

fn hash_id(id: &ReportId) -> u64 {
    let mut bytes = Vec::with_capacity(64);
    bytes.extend_from_slice(id.reporter.as_str().as_bytes());
    bytes.extend_from_slice(&id.incarnation.to_le_bytes());
    bytes.extend_from_slice(&id.number.to_le_bytes());
    Digest::of(&bytes).prefix_u64()
}
