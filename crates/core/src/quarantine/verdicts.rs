//! What follows from the reports.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use super::Content;
use super::Fingerprint;
use super::observed_at::ObservedAt;
use crate::Tick;

/// Crashes under one request after which no target runs it any more.
pub const CRASHES: usize = 3;

/// Crashes after which an answer to it has to be told: one more would make
/// [`CRASHES`].
pub(super) const CRASHES_TO_SUSPECT: usize = CRASHES - 1;

/// How long a request is in quarantine after the last crash under it. Then it may show
/// that its targets were mended; one more crash puts it back.
const QUARANTINE_PERIOD: Duration = Duration::from_secs(600);

/// How long an answer excuses a request from crashes after it. Targets that fall together
/// fall under everything that is asked often, before another could answer.
pub const ANSWER_EXCUSES: Duration = Duration::from_secs(10);

/// Which requests are in quarantine, and of which it matters to know that they were
/// answered.
///
/// # Invariants
///
/// Whatever is in quarantine is doubted as well.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Verdicts {
    /// Until when each is in quarantine.
    quarantined: BTreeMap<Fingerprint, Tick>,
    suspects: BTreeSet<Fingerprint>,
}

impl Verdicts {
    /// Until when no target is to run a request, if it is in quarantine at `now`.
    pub fn held_until(&self, now: Tick, content: &Content) -> Option<Tick> {
        if self.quarantined.is_empty() {
            return None;
        }
        let until = |content| self.quarantined.get(&content).copied();
        let until = content.fingerprints().filter_map(until).max();
        until.filter(|until| now < *until)
    }

    /// Whether others are to hear that a request was answered.
    pub fn doubts(&self, content: Fingerprint) -> bool {
        self.suspects.contains(&content)
    }

    /// All of which others are to hear that they were answered.
    pub fn doubted(&self) -> impl Iterator<Item = Fingerprint> {
        self.suspects.iter().copied()
    }

    /// Those in quarantine at `now`, and until when.
    pub fn held_at(&self, now: Tick) -> impl Iterator<Item = (Fingerprint, Tick)> {
        let held = self
            .quarantined
            .iter()
            .map(|(content, until)| (*content, *until));
        held.filter(move |(_, until)| now < *until)
    }

    /// Those in quarantine, or that were.
    pub fn held(&self) -> impl Iterator<Item = Fingerprint> {
        self.quarantined.keys().copied()
    }

    /// Whether it is in quarantine, or was.
    pub(crate) fn holds(&self, content: Fingerprint) -> bool {
        self.quarantined.contains_key(&content)
    }

    /// Judges by crashes, and by the moment up to which each request is excused from them.
    pub(super) fn evaluate(
        crashes: &[(ObservedAt, &[Content])],
        exempt_until: &HashMap<Fingerprint, ObservedAt>,
    ) -> Verdicts {
        let mut verdicts = Verdicts::default();
        let mut by_whole = CrashCounts::new(exempt_until);
        for (at, ran) in crashes {
            by_whole.count(*at, ran.iter().map(Content::whole));
        }
        by_whole.evaluate(&mut verdicts);
        // A crash under a request that is in quarantine is no sign against others that
        // differ from it by their query.
        let mut by_resource = CrashCounts::new(exempt_until);
        for (at, ran) in crashes {
            let held = ran.iter().filter(|it| verdicts.holds(it.whole()));
            let explained: HashSet<Fingerprint> = held.map(Content::resource).collect();
            let resources = ran.iter().map(Content::resource);
            by_resource.count(*at, resources.filter(|it| !explained.contains(it)));
        }
        by_resource.evaluate(&mut verdicts);
        verdicts
    }
}

/// Crashes by fingerprint.
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

    /// CrashCounts one crash against each that ran, once.
    fn count(&mut self, at: ObservedAt, ran: impl Iterator<Item = Fingerprint>) {
        let ran: HashSet<Fingerprint> = ran.collect();
        for content in ran {
            let exempt = self.exempt_until.get(&content);
            if exempt.is_none_or(|until| *until < at) {
                self.crashes.entry(content).or_default().push(at);
            }
        }
    }

    fn evaluate(self, verdicts: &mut Verdicts) {
        for (content, crashes) in self.crashes {
            if crashes.len() >= CRASHES_TO_SUSPECT {
                verdicts.suspects.insert(content);
            }
            if crashes.len() >= CRASHES
                && let Some(last) = crashes.iter().max()
            {
                verdicts
                    .quarantined
                    .insert(content, last.later_by(QUARANTINE_PERIOD).tick());
            }
        }
    }
}
