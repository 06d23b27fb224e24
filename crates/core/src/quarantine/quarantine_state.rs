//! Which requests are in quarantine, as it follows from the reports.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use super::Content;
use super::Fingerprint;
use super::observed_at::ObservedAt;
use crate::Tick;

/// The number of crashes while a request ran after which no target runs it any more.
pub const CRASHES_TO_QUARANTINE: usize = 3;

/// The number of crashes after which a request is suspect and answers to it have to be
/// reported: one more crash makes [`CRASHES_TO_QUARANTINE`].
pub(super) const CRASHES_TO_SUSPECT: usize = CRASHES_TO_QUARANTINE - 1;

/// How long after a request has become suspect it may enter quarantine. Targets that crash
/// together do so while they run all frequent requests, and answers to these have to be
/// reported first. Copies are held in the meantime.
const ANSWER_REPORT_TIME: Duration = Duration::from_millis(500);

/// How long a request stays in quarantine after the last crash while it ran. Then it may run
/// again, as its targets may have been fixed. One more crash renews the quarantine.
const QUARANTINE_PERIOD: Duration = Duration::from_secs(600);

/// How long after an answer crashes don't count against the request. Targets that crash
/// together do so while they run all frequent requests, before another target could answer.
pub const ANSWER_EXEMPTION: Duration = Duration::from_secs(10);

/// The requests in quarantine, and the suspect ones, whose answers have to be reported.
///
/// # Invariants
///
/// Every request in quarantine is suspect as well.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct QuarantineState {
    quarantined: BTreeMap<Fingerprint, Period>,
    suspects: BTreeSet<Fingerprint>,
}

/// What a target's node does with a request, by the crashes that count against it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineDecision {
    /// It may run.
    Run,
    /// It must not start before this time. If no answer to it is reported by then, it enters
    /// quarantine.
    HoldUntil(Tick),
    /// It is in quarantine until this time, and is refused.
    RefuseUntil(Tick),
}

/// When a request is in quarantine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Period {
    from: Tick,
    until: Tick,
}

impl Period {
    fn contains(&self, now: Tick) -> bool {
        self.from <= now && now < self.until
    }
}

impl QuarantineState {
    /// Decides on a request at `now`.
    pub fn decide(&self, now: Tick, content: &Content) -> QuarantineDecision {
        if self.quarantined.is_empty() {
            return QuarantineDecision::Run;
        }
        if let Some(until) = self.quarantined_until(now, content) {
            return QuarantineDecision::RefuseUntil(until);
        }
        match self.quarantined_from(now, content) {
            Some(from) => QuarantineDecision::HoldUntil(from),
            None => QuarantineDecision::Run,
        }
    }

    /// The time until which a request is in quarantine, if it is in quarantine at `now`.
    pub(crate) fn quarantined_until(&self, now: Tick, content: &Content) -> Option<Tick> {
        let periods = self.periods(content);
        let current = periods.filter(|period| period.contains(now));
        current.map(|period| period.until).max()
    }

    /// When a request will enter quarantine, if it will after `now`.
    pub(crate) fn quarantined_from(&self, now: Tick, content: &Content) -> Option<Tick> {
        let starts = self.periods(content).map(|period| period.from);
        starts.filter(|from| now < *from).min()
    }

    fn periods(&self, content: &Content) -> impl Iterator<Item = Period> {
        let fingerprints = content.fingerprints();
        fingerprints.filter_map(|content| self.quarantined.get(&content).copied())
    }

    /// Whether a request is suspect, so that answers to it have to be reported.
    pub fn is_suspect(&self, content: Fingerprint) -> bool {
        self.suspects.contains(&content)
    }

    /// All suspect requests.
    pub fn suspects(&self) -> impl Iterator<Item = Fingerprint> {
        self.suspects.iter().copied()
    }

    /// The requests in quarantine at `now`, each with the end of its quarantine.
    pub fn quarantined_at(&self, now: Tick) -> impl Iterator<Item = (Fingerprint, Tick)> {
        let quarantined = self.quarantined.iter();
        let current = quarantined.filter(move |(_, period)| period.contains(now));
        current.map(|(content, period)| (*content, period.until))
    }

    /// The requests that are or will be in quarantine, or whose quarantine has ended.
    pub fn quarantined(&self) -> impl Iterator<Item = Fingerprint> {
        self.quarantined.keys().copied()
    }

    /// Whether a request is or will be in quarantine, or its quarantine has ended.
    pub(crate) fn contains(&self, content: Fingerprint) -> bool {
        self.quarantined.contains_key(&content)
    }

    /// Evaluates crashes. `exempt_until` is the time up to which crashes don't count against
    /// a request.
    pub(super) fn evaluate(
        crashes: &[(ObservedAt, &[Content])],
        exempt_until: &HashMap<Fingerprint, ObservedAt>,
    ) -> QuarantineState {
        let mut state = QuarantineState::default();
        let mut by_whole = CrashCounts::new(exempt_until);
        for (at, ran) in crashes {
            by_whole.count(*at, ran.iter().map(Content::whole));
        }
        by_whole.evaluate(&mut state);
        // A crash while a quarantined request ran doesn't count against requests that differ
        // from it only by their query.
        let mut by_resource = CrashCounts::new(exempt_until);
        for (at, ran) in crashes {
            let quarantined = ran.iter().filter(|it| state.contains(it.whole()));
            let explained: HashSet<Fingerprint> = quarantined.map(Content::resource).collect();
            let resources = ran.iter().map(Content::resource);
            by_resource.count(*at, resources.filter(|it| !explained.contains(it)));
        }
        by_resource.evaluate(&mut state);
        state
    }
}

/// The crashes that count against each fingerprint.
#[derive(Debug)]
struct CrashCounts<'a> {
    exempt_until: &'a HashMap<Fingerprint, ObservedAt>,
    crashes: HashMap<Fingerprint, Vec<ObservedAt>>,
}

impl<'a> CrashCounts<'a> {
    fn new(exempt_until: &'a HashMap<Fingerprint, ObservedAt>) -> CrashCounts<'a> {
        CrashCounts {
            exempt_until,
            crashes: HashMap::new(),
        }
    }

    /// Counts one crash against each request that ran, however many copies of it ran.
    fn count(&mut self, at: ObservedAt, ran: impl Iterator<Item = Fingerprint>) {
        let ran: HashSet<Fingerprint> = ran.collect();
        for content in ran {
            let exempt = self.exempt_until.get(&content);
            if exempt.is_none_or(|until| *until < at) {
                self.crashes.entry(content).or_default().push(at);
            }
        }
    }

    fn evaluate(self, state: &mut QuarantineState) {
        for (content, mut crashes) in self.crashes {
            crashes.sort_unstable();
            if crashes.len() >= CRASHES_TO_SUSPECT {
                state.suspects.insert(content);
            }
            if crashes.len() >= CRASHES_TO_QUARANTINE
                && let Some(last) = crashes.last()
            {
                let suspect = crashes[CRASHES_TO_SUSPECT - 1];
                let period = Period {
                    from: suspect.later_by(ANSWER_REPORT_TIME).tick(),
                    until: last.later_by(QUARANTINE_PERIOD).tick(),
                };
                state.quarantined.insert(content, period);
            }
        }
    }
}
