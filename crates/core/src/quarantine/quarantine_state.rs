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
    /// The end of the quarantine of each request.
    quarantined: BTreeMap<Fingerprint, Tick>,
    suspects: BTreeSet<Fingerprint>,
}

impl QuarantineState {
    /// The time until which no target may run a request, if it is in quarantine at `now`.
    pub fn quarantined_until(&self, now: Tick, content: &Content) -> Option<Tick> {
        if self.quarantined.is_empty() {
            return None;
        }
        let until = |content| self.quarantined.get(&content).copied();
        let until = content.fingerprints().filter_map(until).max();
        until.filter(|until| now < *until)
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
        let quarantined = self
            .quarantined
            .iter()
            .map(|(content, until)| (*content, *until));
        quarantined.filter(move |(_, until)| now < *until)
    }

    /// The requests that are in quarantine, or whose quarantine has ended.
    pub fn quarantined(&self) -> impl Iterator<Item = Fingerprint> {
        self.quarantined.keys().copied()
    }

    /// Whether a request is in quarantine, or its quarantine has ended.
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
        for (content, crashes) in self.crashes {
            if crashes.len() >= CRASHES_TO_SUSPECT {
                state.suspects.insert(content);
            }
            if crashes.len() >= CRASHES_TO_QUARANTINE
                && let Some(last) = crashes.iter().max()
            {
                state
                    .quarantined
                    .insert(content, last.later_by(QUARANTINE_PERIOD).tick());
            }
        }
    }
}
