//! Reads of the platform that are under way or due.

use std::time::Duration;

use rand::rngs::SmallRng;

use super::holder::Holder;
use crate::Action;
use crate::Freshness;
use crate::Revision;
use crate::SpreadConfig;
use crate::Stream;
use crate::Tick;
use crate::reader::Backoff;

/// How long a platform that has nothing yet is left alone: its operators are about
/// to publish for the first time, and 195 nodes that asked ten times a second made
/// 700 calls until they had.
const NOTHING_WAIT: Duration = Duration::from_secs(1);

/// The state of reading one stream.
#[derive(Debug)]
pub(super) struct SourceReads {
    stream: Stream,
    backoff: Backoff,
    /// A read is under way since then.
    under_way: Option<Tick>,
    /// How new the answer to the last read had to be.
    freshness: Freshness,
    /// Whether an answer that may lag was empty.
    lagged_empty: bool,
    /// The answer to the read under way is old and not to be used.
    outdated: bool,
    /// No read before this.
    not_before: Tick,
    /// The newest revision that the platform gave, good or bad.
    seen: Option<Revision>,
    /// Whether the platform ever answered.
    answered: bool,
    /// Reads asked for so far.
    count: u64,
}

impl SourceReads {
    pub(super) fn new(stream: Stream, cfg: &SpreadConfig) -> SourceReads {
        SourceReads {
            stream,
            backoff: Backoff::new(cfg.backoff_base, cfg.backoff_cap),
            under_way: None,
            freshness: Freshness::Newest,
            lagged_empty: false,
            outdated: false,
            not_before: Tick::ZERO,
            seen: None,
            answered: false,
            count: 0,
        }
    }

    pub(super) fn count(&self) -> u64 {
        self.count
    }

    pub(super) fn answered(&self) -> bool {
        self.answered
    }

    /// Since when a read is under way whose answer will be the newest.
    pub(super) fn asked_newest(&self) -> Option<Tick> {
        self.under_way
            .filter(|_| self.freshness == Freshness::Newest)
    }

    /// How long the read under way has taken; zero if none is.
    pub(super) fn elapsed(&self, now: Tick) -> Duration {
        self.under_way
            .map_or(Duration::ZERO, |since| now.since(since))
    }

    /// When a read is due; never while one is under way.
    pub(super) fn due(&self) -> Option<Tick> {
        match self.under_way {
            Some(_) => None,
            None => Some(self.not_before),
        }
    }

    /// Asks for a read. It waits for something newer than what is held and
    /// than what was seen: a bad version must not be handed out for ever.
    pub(super) fn read(
        &mut self,
        now: Tick,
        holder: &Holder,
        watch: Duration,
        out: &mut Vec<Action>,
    ) {
        let held = holder.heads().of(self.stream);
        let held = held.map(|version| version.revision());
        let after = held.max(self.seen);
        self.under_way = Some(now);
        self.freshness = self.freshness_after(after);
        self.count += 1;
        let wait = match after {
            Some(_) => watch,
            None => Duration::ZERO,
        };
        out.push(Action::ReadSource {
            stream: self.stream,
            after,
            wait,
            freshness: self.freshness,
            list: holder.instances().cloned(),
        });
    }

    /// How new the answer has to be, if it is to be newer than `after`.
    ///
    /// A node that holds nothing takes an old answer as well: it is about to
    /// compare itself with its peers, and whoever reads on watches from there
    /// and hears at once of what came since. Where such answers cost the platform
    /// a tenth, a fleet of 195 that starts costs it 20 lists in place of 195. What
    /// lags behind the very first publication is asked for again.
    fn freshness_after(&self, after: Option<Revision>) -> Freshness {
        match after {
            None if !self.lagged_empty => Freshness::MayLag,
            _ => Freshness::Newest,
        }
    }

    /// Notes that the platform answered that there is nothing.
    pub(super) fn find_nothing(&mut self, now: Tick, rng: &mut SmallRng) {
        self.lagged_empty = self.freshness == Freshness::MayLag;
        self.fail(now, NOTHING_WAIT, rng);
    }

    /// Whether the answer to the last read may have been old.
    pub(super) fn may_lag(&self) -> bool {
        self.freshness == Freshness::MayLag
    }

    /// Notes that the answer to the read under way will be old.
    /// It is waited for from now on, since it may be in a buffer already.
    pub(super) fn outdate(&mut self, now: Tick) {
        self.outdated = self.under_way.is_some();
        self.under_way = self.under_way.map(|_| now);
    }

    /// Whether an answer is to be dropped; the read is then due again.
    pub(super) fn drop_outdated(&mut self) -> bool {
        if self.outdated {
            self.under_way = None;
        }
        std::mem::take(&mut self.outdated)
    }

    /// Notes that the platform answered, with its newest revision if it gave
    /// a value.
    pub(super) fn succeed(&mut self, seen: Option<Revision>) {
        self.under_way = None;
        self.answered = true;
        self.seen = self.seen.max(seen);
        self.backoff.succeed();
    }

    /// Notes that the read failed; the next waits at least `at_least`.
    pub(super) fn fail(&mut self, now: Tick, at_least: Duration, rng: &mut SmallRng) {
        self.outdated = false;
        self.under_way = None;
        let wait = self.backoff.fail(rng);
        self.not_before = now + at_least + wait;
    }

    /// Puts the next read off.
    pub(super) fn hold_back(&mut self, until: Tick) {
        self.not_before = self.not_before.max(until);
    }
}
