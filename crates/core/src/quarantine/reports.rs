//! All reports that a node knows.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use super::Content;
use super::Fingerprint;
use super::Report;
use super::ReportId;
use super::Sighting;
use super::Verdicts;
use super::moment::Moment;
use super::moment::REMEMBERED;
use super::verdicts::ANSWER_EXCUSES;
use super::verdicts::DOUBTED;
use crate::Digest;
use crate::Tick;

/// Reports that are kept; of those that prove nothing, the oldest go first.
const MOST_REPORTS: usize = 512;

/// Requests of one crash that are told at most: all slots of large targets.
const MOST_CONTENTS: usize = 256;

/// Bytes of reports in one comparison, about: nodes that know different ones, since there
/// are more than are kept, send so many every few seconds.
const MOST_TOLD_BYTES: usize = 8 * 1024;

/// Bytes of a report beside what it tells of requests, about.
const REPORT_BYTES: usize = 32;

/// Bytes that one request takes in a report.
const CONTENT_BYTES: usize = 18;

/// The reports that a node has made or heard of.
///
/// # Invariants
///
/// A report is never changed: the first copy of it counts. `root` is over the ids of those
/// that are kept, so that two nodes with the same root know the same. `crashes` counts the
/// reports of crashes that tell of a request, and while `is_judged`, `verdicts` follow from
/// the reports.
#[derive(Debug, Default)]
pub(crate) struct Reports {
    reports: BTreeMap<ReportId, Kept>,
    root: u64,
    crashes: HashMap<Fingerprint, usize>,
    verdicts: Verdicts,
    is_judged: bool,
}

#[derive(Debug)]
struct Kept {
    at: Moment,
    sighting: Sighting,
}

impl Reports {
    /// Takes a report in; false if it says nothing new.
    pub(crate) fn merge(&mut self, now: Tick, report: &Report) -> bool {
        let age = Duration::from_millis(report.age_ms.into());
        let Some(at) = Moment::before(now, age) else {
            return false;
        };
        if self.reports.contains_key(&report.id) {
            return false;
        }
        let mut sighting = report.sighting.clone();
        if let Sighting::Crashed(ran) = &mut sighting {
            ran.truncate(MOST_CONTENTS);
        }
        let kept = Kept { at, sighting };
        // INVARIANT: A report goes into the root once, as it comes.
        self.root ^= hash_of(&report.id);
        let contents = kept.contents();
        if kept.is_crash() {
            for content in &contents {
                *self.crashes.entry(*content).or_default() += 1;
            }
        }
        self.unsettle(&contents);
        self.reports.insert(report.id.clone(), kept);
        if self.reports.len() > MOST_REPORTS {
            self.drop_one();
        }
        true
    }

    /// Forgets what is too old to count.
    pub(crate) fn forget(&mut self, now: Tick) {
        let is_old = |kept: &Kept| kept.at.age(now) >= REMEMBERED;
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
        // INVARIANT: What goes leaves the root and the counts.
        self.root ^= hash_of(id);
        let contents = kept.contents();
        self.unsettle(&contents);
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

    /// Notes that a report of these has come or goes. Most tell of requests that fell with
    /// one target alone, and change no verdict.
    fn unsettle(&mut self, contents: &BTreeSet<Fingerprint>) {
        let matters = |content| self.crashes.get(content).is_some_and(|n| *n >= DOUBTED);
        self.is_judged &= !contents.iter().any(matters);
    }

    /// Judges anew; gives the verdicts before and now if these are others.
    pub(crate) fn judge(&mut self) -> Option<(Verdicts, &Verdicts)> {
        if std::mem::replace(&mut self.is_judged, true) {
            return None;
        }
        let mut crashes: Vec<(Moment, &[Content])> = Vec::new();
        let mut excused: HashMap<Fingerprint, Moment> = HashMap::new();
        let mut excuse = |content: Fingerprint, until: Moment| {
            let latest = excused.entry(content).or_insert(until);
            *latest = until.max(*latest);
        };
        for kept in self.reports.values() {
            match &kept.sighting {
                Sighting::Crashed(ran) => crashes.push((kept.at, ran)),
                Sighting::Answered(content) => excuse(*content, kept.at.plus(ANSWER_EXCUSES)),
                Sighting::Released(content) => excuse(*content, kept.at),
            }
        }
        let verdicts = Verdicts::judge(&crashes, &excused);
        if verdicts == self.verdicts {
            return None;
        }
        let before = std::mem::replace(&mut self.verdicts, verdicts);
        Some((before, &self.verdicts))
    }

    /// What follows from the reports, as it was judged last.
    pub(crate) fn verdicts(&self) -> &Verdicts {
        &self.verdicts
    }

    /// A hash over all that is known.
    pub(crate) fn root(&self) -> u64 {
        self.root
    }

    /// A report with its age at `now`.
    pub(crate) fn report_at(&self, now: Tick, id: &ReportId) -> Option<Report> {
        let kept = self.reports.get(id)?;
        Some(kept.report_at(now, id))
    }

    /// As many reports as fit into a message: those of what is in quarantine first, then
    /// the newest.
    pub(crate) fn reports_to_send(&self, now: Tick) -> Vec<Report> {
        let mut by_weight: Vec<(&ReportId, &Kept)> = self.reports.iter().collect();
        by_weight.sort_by_cached_key(|(_, kept)| (self.is_of_weight(kept), kept.at));
        let mut left = MOST_TOLD_BYTES;
        let mut told = Vec::new();
        for (id, kept) in by_weight.into_iter().rev() {
            let Some(rest) = left.checked_sub(kept.bytes()) else {
                break;
            };
            left = rest;
            told.push(kept.report_at(now, id));
        }
        told
    }

    /// Whether it tells of a request that is in quarantine or nearly so.
    fn is_of_weight(&self, kept: &Kept) -> bool {
        match &kept.sighting {
            Sighting::Answered(_) | Sighting::Released(_) => true,
            Sighting::Crashed(ran) => ran
                .iter()
                .flat_map(Content::fingerprints)
                .any(|content| self.verdicts.doubts(content)),
        }
    }

    /// Makes room: crashes of many targets that have nothing in common mustn't push out
    /// those that prove something.
    fn drop_one(&mut self) {
        let lightest = self
            .reports
            .iter()
            .min_by_key(|(_, kept)| (self.is_of_weight(kept), kept.at));
        let Some(id) = lightest.map(|(id, _)| id.clone()) else {
            return;
        };
        self.remove(&id);
    }
}

impl Kept {
    fn is_crash(&self) -> bool {
        matches!(self.sighting, Sighting::Crashed(_))
    }

    /// What it tells of, each once.
    fn contents(&self) -> BTreeSet<Fingerprint> {
        match &self.sighting {
            Sighting::Crashed(ran) => ran.iter().flat_map(Content::fingerprints).collect(),
            Sighting::Answered(content) | Sighting::Released(content) => BTreeSet::from([*content]),
        }
    }

    fn report_at(&self, now: Tick, id: &ReportId) -> Report {
        let age_ms = self.at.age(now).as_millis();
        Report {
            id: id.clone(),
            age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
            sighting: self.sighting.clone(),
        }
    }

    /// Bytes in a message, about.
    fn bytes(&self) -> usize {
        match &self.sighting {
            Sighting::Crashed(ran) => REPORT_BYTES + CONTENT_BYTES * ran.len(),
            Sighting::Answered(_) | Sighting::Released(_) => REPORT_BYTES + CONTENT_BYTES,
        }
    }
}

fn hash_of(id: &ReportId) -> u64 {
    let mut bytes = Vec::with_capacity(64);
    bytes.extend_from_slice(id.witness.as_str().as_bytes());
    bytes.extend_from_slice(&id.incarnation.to_le_bytes());
    bytes.extend_from_slice(&id.number.to_le_bytes());
    Digest::of(&bytes).head()
}
