//! Reads of the platform that are due or in flight.

use std::cmp::Ordering;
use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;

use super::version_store::VersionStore;
use crate::Action;
use crate::Freshness;
use crate::Revision;
use crate::SourceResult;
use crate::SpreadConfig;
use crate::Stream;
use crate::Tick;
use crate::reader::Backoff;

/// Delay before the next read of a platform that has published nothing yet. Its
/// operators are about to publish for the first time; a fleet that read more
/// often would exhaust the read budget until they have.
const NOTHING_PUBLISHED_DELAY: Duration = Duration::from_secs(1);

/// Delay after an empty answer that came at once, as a platform that doesn't
/// hold watches gives it. Without the delay, it would be read in a tight loop.
pub(super) const EMPTY_ANSWER_DELAY: Duration = Duration::from_millis(500);

/// How long the platform may hold a check. In a burst the next change answers
/// the check, so that it costs no call of its own there. With a longer hold, an
/// unanswered check would time out later: as deployed 2 s after it was sent,
/// where changes have to be in force 5 s after the platform's return and a list
/// may be deferred for 2.3 s of these.
const MAX_CHECK_HOLD: Duration = Duration::from_millis(500);

/// Minimum part of [`MAX_CHECK_HOLD`] that a check lasts. The part is random,
/// so that the checks of several readers end at different times and a silence
/// can't coincide with the next watch of all readers.
const MIN_CHECK_HOLD_PART: f64 = 0.5;

/// Maximum age of an answer without a value after which the next read may be a
/// watch without a check. The read budget delays reads by at most 0.3 s in
/// fleets in which few nodes read much.
const RECENT_ANSWER_AGE: Duration = Duration::from_secs(1);

/// When a node checks that the platform answers before it watches.
///
/// A check is a short watch, which shows early whether the platform answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CheckPolicy {
    /// After a failure.
    AfterFailure,
    /// After a failure, a value or a pause; pauses are shorter, see
    /// [`SourceReads::pause_after_value`].
    AfterEach,
}

/// The last outcome on a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LastRead {
    /// A value.
    Value,
    /// An answer without a value, at that time.
    Answer(Tick),
    /// A pause after an answer, or no read yet.
    Pause,
    /// A read without an answer.
    Failure,
}

/// The state of reading one stream.
///
/// A platform that becomes silent accepts requests and never answers them, even
/// after it has recovered. A watch sent in that time looks like a watch without
/// changes, and the node waits for it until it times out: 11.5 s as deployed,
/// during which targets that have announced that they leave would still get
/// requests. Readers are synchronised, because they watch again when a watch
/// has had no answer and pause after a change, so that all of them would miss
/// the same change.
///
/// Therefore each reader checks after a failure. One reader in each failure
/// domain also checks after a value and after a pause, and doesn't pause after
/// a single change; it announces to the others what it receives. If all readers
/// did this, successive changes would take a third more reads.
///
/// # Invariants
///
/// A reader that checks after each value watches a stream only right after an
/// answer without a value. Such an answer comes at a moment of that reader's
/// own, whereas a value comes to all readers at once.
#[derive(Debug)]
pub(super) struct SourceReads {
    stream: Stream,
    backoff: Backoff,
    /// Start of the read in flight.
    in_flight_since: Option<Tick>,
    /// How long the platform may hold the last read.
    last_hold: Duration,
    /// The last read waits for a revision newer than this.
    last_after: Option<Revision>,
    /// Duration of the last answered read.
    last_duration: Duration,
    last_read: LastRead,
    /// How new the answer to the last read had to be.
    freshness: Freshness,
    /// Whether an answer that may lag was empty.
    lagging_was_empty: bool,
    /// Whether the answer to the read in flight is old and has to be discarded.
    outdated: bool,
    /// The next read starts no earlier than this.
    not_before: Tick,
    /// The newest revision that the platform gave, valid or not.
    newest_seen: Option<Revision>,
    /// Whether the platform ever answered.
    answered: bool,
    /// Number of reads so far.
    read_count: u64,
}

impl SourceReads {
    pub(super) fn new(stream: Stream, cfg: &SpreadConfig) -> SourceReads {
        SourceReads {
            stream,
            backoff: Backoff::new(cfg.backoff_base, cfg.backoff_cap),
            in_flight_since: None,
            last_hold: Duration::ZERO,
            last_after: None,
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

    /// Start of the read in flight, if its answer will be the newest version.
    pub(super) fn newest_read_started(&self) -> Option<Tick> {
        self.in_flight_since
            .filter(|_| self.freshness == Freshness::Newest)
    }

    /// The time up to which a result of the read in flight proves that all published changes
    /// are known; `None` if it proves nothing.
    ///
    /// The platform held a read without changes to the end of its time. Any other answer may
    /// have been made at any time since the read started. An answer of an older copy of the
    /// platform's data has a lower revision than the read named.
    pub(super) fn proved_at(&self, now: Tick, result: &SourceResult) -> Option<Tick> {
        let started = self.newest_read_started()?;
        let after = self.last_after;
        let order = |revision: Revision| {
            let after = after.filter(|after| after.epoch() == revision.epoch());
            after.map(|after| revision.get().cmp(&after.get()))
        };
        let order = result.revision().and_then(order);
        let is_unchanged = matches!(result, SourceResult::Unchanged { .. });
        if order == Some(Ordering::Less) || (is_unchanged && order == Some(Ordering::Greater)) {
            return None;
        }
        match result {
            SourceResult::Busy { .. }
            | SourceResult::Failed { .. }
            | SourceResult::NothingPublished => None,
            SourceResult::Unchanged { .. } if self.elapsed(now) >= self.last_hold => {
                Some(started + self.last_hold)
            }
            _ => Some(started),
        }
    }

    /// Whether the read in flight is late: its result may never arrive.
    pub(super) fn is_overdue(&self, now: Tick, tolerance: Duration) -> bool {
        self.in_flight_since.is_some() && self.elapsed(now) > self.last_hold + tolerance
    }

    /// How long the read in flight has taken; zero if none is in flight.
    pub(super) fn elapsed(&self, now: Tick) -> Duration {
        self.in_flight_since
            .map_or(Duration::ZERO, |since| now.since(since))
    }

    /// When a read is due; never while one is in flight.
    pub(super) fn due(&self) -> Option<Tick> {
        match self.in_flight_since {
            Some(_) => None,
            None => Some(self.not_before),
        }
    }

    /// Starts a read, which the platform may hold for `hold` unless it is a check. It waits for a revision newer than the held one and than
    /// the newest seen: otherwise the platform would return an invalid version
    /// again and again. If these are of a former epoch, or were read before their
    /// epoch settled, the platform returns what it has.
    pub(super) fn start_read(
        &mut self,
        now: Tick,
        store: &VersionStore,
        check: CheckPolicy,
        hold: Duration,
        rng: &mut SmallRng,
        out: &mut Vec<Action>,
    ) {
        let held = store.heads().of(self.stream);
        let held = held.map(|version| version.revision());
        let known = held.max(self.newest_seen);
        let after = known.filter(|known| !store.epochs.is_outdated(*known));
        self.in_flight_since = Some(now);
        self.last_after = after;
        self.freshness = self.required_freshness(known);
        self.read_count += 1;
        self.last_hold = match after {
            Some(after) => {
                let hold = self.hold_at(now, check, hold, rng);
                match store.epochs.settle_due() {
                    // The revision is to be read again as soon as its epoch has settled.
                    Some(due) if after.is_provisional() => hold.min(due.since(now)),
                    _ => hold,
                }
            }
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

    /// How long the platform may hold a read that starts now.
    fn hold_at(
        &self,
        now: Tick,
        check: CheckPolicy,
        hold: Duration,
        rng: &mut SmallRng,
    ) -> Duration {
        let checks = match (check, self.last_read) {
            (_, LastRead::Failure) => true,
            (CheckPolicy::AfterFailure, _) => false,
            (CheckPolicy::AfterEach, LastRead::Pause | LastRead::Value) => true,
            (CheckPolicy::AfterEach, LastRead::Answer(at)) => now.since(at) > RECENT_ANSWER_AGE,
        };
        match checks {
            true => {
                let part = rng.random_range(MIN_CHECK_HOLD_PART..=1.0);
                MAX_CHECK_HOLD.mul_f64(part).min(hold)
            }
            false => hold,
        }
    }

    /// Whether the read in flight ended long before the time for which the
    /// platform was to hold it.
    pub(super) fn is_early(&self, now: Tick) -> bool {
        let least = match self.last_hold.is_zero() {
            true => EMPTY_ANSWER_DELAY,
            false => EMPTY_ANSWER_DELAY.min(self.last_hold / 2),
        };
        self.elapsed(now) < least
    }

    /// The pause after a value, where `rest` is the regular pause.
    ///
    /// A burst takes one read per pause, which keeps a large catalogue from
    /// saturating slow links. A reader that checks after each value doesn't
    /// pause after a single change, that is, if its watch took at least twice
    /// the regular pause: its check follows at once.
    pub(super) fn pause_after_value(&self, rest: Duration, check: CheckPolicy) -> Duration {
        match check {
            CheckPolicy::AfterEach if self.last_duration >= rest * 2 => Duration::ZERO,
            CheckPolicy::AfterEach | CheckPolicy::AfterFailure => rest,
        }
    }

    /// How new the answer has to be, if it has to be newer than `after`.
    ///
    /// A node that holds nothing accepts an old answer as well: it is about to
    /// compare its versions with its peers, and a reader watches from there and
    /// receives later changes at once. Where such answers cost the platform a
    /// tenth, a fleet of 195 that starts costs it 20 lists instead of 195. If
    /// an answer that may lag is empty, because it precedes the first
    /// publication, the next one has to be the newest.
    fn required_freshness(&self, after: Option<Revision>) -> Freshness {
        match after {
            None if !self.lagging_was_empty => Freshness::MayLag,
            _ => Freshness::Newest,
        }
    }

    /// Records that nothing was published yet.
    pub(super) fn note_nothing_published(&mut self, now: Tick, rng: &mut SmallRng) {
        self.lagging_was_empty = self.freshness == Freshness::MayLag;
        self.fail(now, NOTHING_PUBLISHED_DELAY, rng);
    }

    /// Whether the answer to the last read may have been old.
    pub(super) fn answer_may_lag(&self) -> bool {
        self.freshness == Freshness::MayLag
    }

    /// Marks the answer to the read in flight as old. Its elapsed time restarts
    /// now, because the answer may already be in a buffer.
    pub(super) fn mark_outdated(&mut self, now: Tick) {
        self.outdated = self.in_flight_since.is_some();
        self.in_flight_since = self.in_flight_since.map(|_| now);
    }

    /// Whether an answer has to be discarded; the read is then due again.
    pub(super) fn discard_outdated(&mut self) -> bool {
        if self.outdated {
            self.in_flight_since = None;
            self.last_read = LastRead::Failure;
        }
        std::mem::take(&mut self.outdated)
    }

    /// Records an answer of the platform, with its revision if it contained a
    /// value.
    pub(super) fn succeed(&mut self, now: Tick, seen: Option<Revision>) {
        self.last_duration = self.elapsed(now);
        self.in_flight_since = None;
        self.last_read = match seen {
            Some(_) => LastRead::Value,
            None => LastRead::Answer(now),
        };
        self.answered = true;
        self.newest_seen = self.newest_seen.max(seen);
        self.backoff.record_success();
    }

    /// Records that the read failed. The next read waits at least `at_least`,
    /// and the rest of a backoff that counts from the start of the failed read:
    /// while that read had no answer, it put no further load on the platform.
    pub(super) fn fail(&mut self, now: Tick, at_least: Duration, rng: &mut SmallRng) {
        let wait = self
            .backoff
            .record_failure(rng)
            .saturating_sub(self.elapsed(now));
        self.outdated = false;
        self.in_flight_since = None;
        self.last_read = LastRead::Failure;
        self.not_before = now + at_least + wait;
    }

    /// Delays the next read until then, if that time is in the future.
    pub(super) fn defer_until(&mut self, now: Tick, until: Tick) {
        if until > now {
            self.last_read = LastRead::Pause;
            self.not_before = self.not_before.max(until);
        }
    }
}
