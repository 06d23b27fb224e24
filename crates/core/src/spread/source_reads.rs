//! Reads of the platform that are under way or due.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;

use super::version_store::VersionStore;
use crate::Action;
use crate::Freshness;
use crate::Revision;
use crate::SpreadConfig;
use crate::Stream;
use crate::Tick;
use crate::reader::Backoff;

/// How long a platform that has nothing yet is left alone: its operators are about
/// to publish for the first time, and a fleet that asked more often would use up the
/// read budget until they have.
const NOTHING_PUBLISHED_DELAY: Duration = Duration::from_secs(1);

/// The wait after an answer that came at once with nothing new, as a platform
/// gives it that doesn't hold watches back; else it would be asked in a loop.
pub(super) const EMPTY_ANSWER_DELAY: Duration = Duration::from_millis(500);

/// How long the platform may hold a check. In a burst the next change answers it,
/// so that it costs no call of its own there. Longer, it would be given up later: 2 s
/// from asking on as deployed, where changes have to be in force 5 s after the
/// platform's return, and a list may be put off for 2.3 s of these.
const MAX_CHECK_HOLD: Duration = Duration::from_millis(500);

/// The least part of [`MAX_CHECK_HOLD`] that a check lasts. Checks of several readers end at
/// different times, so that a silence can't meet the next watch of all of them.
const MIN_CHECK_HOLD_PART: f64 = 0.5;

/// For how long after an answer the next read may be a watch without a check. The
/// read budget puts reads off by 0.3 s at most where few nodes read much.
const RECENT_ANSWER_AGE: Duration = Duration::from_secs(1);

/// When a node checks that the platform answers before it watches.
///
/// A check is a short watch: it shows soon whether anybody is there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CheckPolicy {
    /// After a failure.
    AfterFailure,
    /// After a failure, a value or a pause, and it pauses less: see
    /// [`SourceReads::pause_after_value`].
    AfterEach,
}

/// What there was last on a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LastRead {
    /// A value.
    Value,
    /// An answer without a value, at that time.
    Answer(Tick),
    /// A pause after an answer, or nothing yet.
    Pause,
    /// A read without an answer.
    Failure,
}

/// The state of reading one stream.
///
/// A platform that falls silent takes requests and never answers them, even when
/// it is back. A watch among those looks like one on which nothing happens, and is
/// waited for to its end: 11.5 s as deployed, in which targets that have said that
/// they leave would go on to get requests. Readers are in step, so that all would miss
/// the same change: they watch again when a watch has had no answer, and pause after
/// a change.
///
/// Therefore each checks after a failure. One in each failure domain checks after a
/// value and after a pause as well, and has no pause after a single change; what it
/// hears, it tells the others. Were all readers to do so, changes in a row would take
/// a third more reads.
///
/// # Invariants
///
/// Who checks after each value only watches a stream right after an answer without one,
/// which comes at a moment of the reader's own: a value comes to all readers at once.
#[derive(Debug)]
pub(super) struct SourceReads {
    stream: Stream,
    backoff: Backoff,
    /// How long the platform may hold a watch.
    watch: Duration,
    /// A read is under way since then.
    in_flight_since: Option<Tick>,
    /// How long the platform may hold the last read.
    last_hold: Duration,
    /// How long the last answered read took.
    last_duration: Duration,
    last_read: LastRead,
    /// How new the answer to the last read had to be.
    freshness: Freshness,
    /// Whether an answer that may lag was empty.
    lagging_was_empty: bool,
    /// The answer to the read under way is old and not to be used.
    outdated: bool,
    /// No read before this.
    not_before: Tick,
    /// The newest revision that the platform gave, good or bad.
    newest_seen: Option<Revision>,
    /// Whether the platform ever answered.
    answered: bool,
    /// Reads asked for so far.
    read_count: u64,
}

impl SourceReads {
    pub(super) fn new(stream: Stream, cfg: &SpreadConfig) -> SourceReads {
        SourceReads {
            stream,
            backoff: Backoff::new(cfg.backoff_base, cfg.backoff_cap),
            watch: cfg.watch,
            in_flight_since: None,
            last_hold: Duration::ZERO,
            last_duration: Duration::ZERO,
            last_read: LastRead::Pause,
            freshness: Freshness::Newest,
            lagging_was_empty: false,
            outdated: false,
            not_before: Tick::ZERO,
            newest_seen: None,
            answered: false,
            read_count: 0,
        }
    }

    pub(super) fn read_count(&self) -> u64 {
        self.read_count
    }

    pub(super) fn has_answered(&self) -> bool {
        self.answered
    }

    /// Since when a read is under way whose answer will be the newest.
    pub(super) fn newest_read_started(&self) -> Option<Tick> {
        self.in_flight_since
            .filter(|_| self.freshness == Freshness::Newest)
    }

    /// How long the read under way has taken; zero if none is.
    pub(super) fn elapsed(&self, now: Tick) -> Duration {
        self.in_flight_since
            .map_or(Duration::ZERO, |since| now.since(since))
    }

    /// When a read is due; never while one is under way.
    pub(super) fn due(&self) -> Option<Tick> {
        match self.in_flight_since {
            Some(_) => None,
            None => Some(self.not_before),
        }
    }

    /// Asks for a read. It waits for something newer than what is held and
    /// than what was seen: a bad version must not be handed out for ever.
    pub(super) fn start_read(
        &mut self,
        now: Tick,
        store: &VersionStore,
        check: CheckPolicy,
        rng: &mut SmallRng,
        out: &mut Vec<Action>,
    ) {
        let held = store.heads().of(self.stream);
        let held = held.map(|version| version.revision());
        let after = held.max(self.newest_seen);
        self.in_flight_since = Some(now);
        self.freshness = self.required_freshness(after);
        self.read_count += 1;
        self.last_hold = match after {
            Some(_) => self.hold_at(now, check, rng),
            None => Duration::ZERO,
        };
        out.push(Action::ReadSource {
            stream: self.stream,
            after,
            wait: self.last_hold,
            freshness: self.freshness,
            list: store.instances().cloned(),
            catalogue: store.catalogue().cloned(),
        });
    }

    /// How long the platform may hold a read that is asked now.
    fn hold_at(&self, now: Tick, check: CheckPolicy, rng: &mut SmallRng) -> Duration {
        let checks = match (check, self.last_read) {
            (_, LastRead::Failure) => true,
            (CheckPolicy::AfterFailure, _) => false,
            (CheckPolicy::AfterEach, LastRead::Pause | LastRead::Value) => true,
            (CheckPolicy::AfterEach, LastRead::Answer(at)) => now.since(at) > RECENT_ANSWER_AGE,
        };
        match checks {
            true => {
                let part = rng.random_range(MIN_CHECK_HOLD_PART..=1.0);
                MAX_CHECK_HOLD.mul_f64(part).min(self.watch)
            }
            false => self.watch,
        }
    }

    /// Whether the read under way ends long before the time for which the platform
    /// was to hold it.
    pub(super) fn is_early(&self, now: Tick) -> bool {
        let least = match self.last_hold.is_zero() {
            true => EMPTY_ANSWER_DELAY,
            false => EMPTY_ANSWER_DELAY.min(self.last_hold / 2),
        };
        self.elapsed(now) < least
    }

    /// The pause after a value, if it is `rest` as a rule.
    ///
    /// A burst is read once in that time, which keeps slow links from being busy with
    /// a large catalogue all the while. Who checks after each value has none after a
    /// single change, one whose watch took twice as long: its check follows at once.
    pub(super) fn pause_after_value(&self, rest: Duration, check: CheckPolicy) -> Duration {
        match check {
            CheckPolicy::AfterEach if self.last_duration >= rest * 2 => Duration::ZERO,
            CheckPolicy::AfterEach | CheckPolicy::AfterFailure => rest,
        }
    }

    /// How new the answer has to be, if it is to be newer than `after`.
    ///
    /// A node that holds nothing takes an old answer as well: it is about to
    /// compare itself with its peers, and whoever reads on watches from there
    /// and hears at once of what came since. Where such answers cost the platform
    /// a tenth, a fleet of 195 that starts costs it 20 lists in place of 195. What
    /// lags behind the very first publication is asked for again.
    fn required_freshness(&self, after: Option<Revision>) -> Freshness {
        match after {
            None if !self.lagging_was_empty => Freshness::MayLag,
            _ => Freshness::Newest,
        }
    }

    /// Notes that the platform answered that there is nothing.
    pub(super) fn note_nothing_published(&mut self, now: Tick, rng: &mut SmallRng) {
        self.lagging_was_empty = self.freshness == Freshness::MayLag;
        self.fail(now, NOTHING_PUBLISHED_DELAY, rng);
    }

    /// Whether the answer to the last read may have been old.
    pub(super) fn answer_may_lag(&self) -> bool {
        self.freshness == Freshness::MayLag
    }

    /// Notes that the answer to the read under way will be old.
    /// It is waited for from now on, since it may be in a buffer already.
    pub(super) fn mark_outdated(&mut self, now: Tick) {
        self.outdated = self.in_flight_since.is_some();
        self.in_flight_since = self.in_flight_since.map(|_| now);
    }

    /// Whether an answer is to be dropped; the read is then due again.
    pub(super) fn discard_outdated(&mut self) -> bool {
        if self.outdated {
            self.in_flight_since = None;
            self.last_read = LastRead::Failure;
        }
        std::mem::take(&mut self.outdated)
    }

    /// Notes that the platform answered, with its newest revision if it gave
    /// a value.
    pub(super) fn succeed(&mut self, now: Tick, seen: Option<Revision>) {
        self.last_duration = self.elapsed(now);
        self.in_flight_since = None;
        self.last_read = match seen {
            Some(_) => LastRead::Value,
            None => LastRead::Answer(now),
        };
        self.answered = true;
        self.newest_seen = self.newest_seen.max(seen);
        self.backoff.succeed();
    }

    /// Notes that the read failed; the next waits at least `at_least`, and the rest
    /// of a back-off that began with the read: one that had no answer for long has
    /// spared the platform for as long.
    pub(super) fn fail(&mut self, now: Tick, at_least: Duration, rng: &mut SmallRng) {
        let wait = self.backoff.fail(rng).saturating_sub(self.elapsed(now));
        self.outdated = false;
        self.in_flight_since = None;
        self.last_read = LastRead::Failure;
        self.not_before = now + at_least + wait;
    }

    /// Puts the next read off, if that moment is yet to come.
    pub(super) fn defer_until(&mut self, now: Tick, until: Tick) {
        if until > now {
            self.last_read = LastRead::Pause;
            self.not_before = self.not_before.max(until);
        }
    }
}
