//! Cold state of a target, as tracked by the target's node.

use std::time::Duration;

use crate::ColdStart;
use crate::TargetGeneration;
use crate::TargetId;
use crate::Tick;

pub use self::cold_cause::ColdCause;
pub use self::cold_probe::ColdProbe;

mod cold_cause;
mod cold_probe;
#[cfg(test)]
mod tests;

/// How long before the tracked end of a cold time the target is probed again. It may have become
/// cold once more meanwhile, which lists report late or not at all.
const END_PROBE_LEAD: Duration = Duration::from_millis(300);

/// Until when a target is cold, as far as its node can determine.
///
/// A target is cold for a time after its start, and may become cold again without any
/// effect on its connections. The instance list lags, so each event that may have made
/// the target cold marks it as cold, until the list or a probe gives a better bound. The
/// start of the node is such an event, since the node doesn't know what happened before it.
///
/// # Invariants
///
/// Once an event is known, `cold_until` is no earlier than the end of the cold period
/// that the event began.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use sassafrasspool_core::ColdStart;
/// use sassafrasspool_core::ColdTracker;
/// use sassafrasspool_core::Tick;
///
/// let start = ColdStart {
///     duration: Duration::from_secs(3),
///     per_s: 10,
///     probe_path: None,
/// };
/// let mut cold = ColdTracker::default();
/// cold.update_evacuation(Tick::from_millis(1_000), &start, true);
/// cold.update_evacuation(Tick::from_millis(9_000), &start, false);
/// assert!(cold.is_unconfirmed());
/// assert_eq!(cold.cold_until(), Tick::from_millis(12_000));
/// let probe = cold.begin_probe();
/// cold.record_probe(Tick::from_millis(9_010), probe, Duration::ZERO, None);
/// assert_eq!(cold.cold_until(), Tick::from_millis(9_010));
/// ```
#[derive(Debug, Default)]
pub struct ColdTracker {
    listed: Option<TargetGeneration>,
    /// The remaining cold time in the last list that contained the target.
    listed_cold_for: Duration,
    /// The current generation, as named by requests or the list, and the one before it.
    recent_generations: [Option<TargetId>; 2],
    evacuated: bool,
    /// Whether the service of the target was found in a catalogue since the node's start.
    service_known: bool,
    cold_until: Tick,
    unconfirmed: bool,
    /// Whether the target itself reported the end of its cold time shortly before it.
    end_confirmed: bool,
    cause: ColdCause,
    /// Events that may have made the target cold.
    events: u64,
}

impl ColdTracker {
    /// Updates the state from the catalogue entry of the target's service, which has no
    /// `start` if its targets are never cold.
    pub fn update_service(&mut self, now: Tick, start: Option<&ColdStart>) {
        let was_known = std::mem::replace(&mut self.service_known, true);
        if let Some(start) = start
            && !was_known
        {
            self.assume_cold(now, start, ColdCause::NodeStarted);
        }
    }

    /// Updates the state from the entry of the target in the instance list.
    pub fn update_from_list(
        &mut self,
        now: Tick,
        start: &ColdStart,
        generation: &TargetGeneration,
        cold_for: Duration,
    ) {
        let same_generation = self
            .listed
            .as_ref()
            .is_some_and(|it| it.is_same(generation));
        let is_first_list = self.listed.is_none();
        let extended = cold_for > self.listed_cold_for;
        self.listed_cold_for = cold_for;
        if same_generation && !extended {
            return;
        }
        self.listed = Some(generation.clone());
        let was_named = self.recent_generations[0].as_ref() == Some(&generation.id);
        self.record_generation(&generation.id);
        if is_first_list {
            // This node has just started, and its list may be older than the event that
            // made the target cold.
            return self.assume_cold(now, start, ColdCause::FirstList);
        }
        let until = now + cold_for;
        let is_assumed = self.unconfirmed && now < self.cold_until;
        self.events += 1;
        if is_assumed && !self.cause.is_generation() {
            // The list may be older than the event from which the cold time is assumed.
            self.cold_until = self.cold_until.max(until);
            return;
        }
        self.cold_until = match (same_generation, was_named) {
            // The list may be older than a probe.
            (true, _) => self.cold_until.max(until),
            // Requests named this generation before. Both times bound the same cold period.
            (false, true) if self.cause.is_generation() => self.cold_until.min(until),
            // This generation was probed before.
            (false, true) => return,
            (false, false) => until,
        };
        self.unconfirmed = false;
        self.end_confirmed = false;
        self.cause = ColdCause::Listed;
    }

    /// Updates whether the target's failure domain is evacuated.
    pub fn update_evacuation(&mut self, now: Tick, start: &ColdStart, evacuated: bool) {
        let evacuation_ended = self.evacuated && !evacuated;
        self.evacuated = evacuated;
        if evacuation_ended {
            self.assume_cold(now, start, ColdCause::EvacuationEnded);
        }
    }

    /// Records the generation of the target that a request names. The local instance
    /// list may not contain that generation yet.
    pub fn record_requested_generation(&mut self, now: Tick, start: &ColdStart, generation: &str) {
        self.record_unlisted_generation(now, start, generation, ColdCause::RequestedGeneration);
    }

    /// Records the generation that declined a request for another one.
    pub fn record_answering_generation(&mut self, now: Tick, start: &ColdStart, generation: &str) {
        self.record_unlisted_generation(now, start, generation, ColdCause::AnsweringGeneration);
    }

    fn record_unlisted_generation(
        &mut self,
        now: Tick,
        start: &ColdStart,
        generation: &str,
        cause: ColdCause,
    ) {
        let is_known = |id: &TargetId| id.as_str() == generation;
        if self.recent_generations.iter().flatten().any(is_known) {
            return;
        }
        if let Ok(id) = TargetId::new(generation) {
            self.record_generation(&id);
            self.assume_cold(now, start, cause);
        }
    }

    /// Records that the process of the target has ended and another one runs.
    pub fn record_restart(&mut self, now: Tick, start: &ColdStart) {
        self.assume_cold(now, start, ColdCause::Restarted);
    }

    /// Begins a probe, whose answer is passed to [`ColdTracker::record_probe`].
    pub const fn begin_probe(&self) -> ColdProbe {
        ColdProbe {
            events: self.events,
        }
    }

    /// Records the remaining cold time that the target itself reported, and its generation if
    /// the answer names it. Returns whether it is used.
    ///
    /// The answer proves nothing if the target may have become cold since the probe was begun,
    /// or if the previous generation gave it.
    pub fn record_probe(
        &mut self,
        now: Tick,
        probe: ColdProbe,
        left: Duration,
        generation: Option<TargetId>,
    ) -> bool {
        let is_previous = generation.is_some() && generation == self.recent_generations[1];
        if probe.events != self.events || is_previous {
            return false;
        }
        if let Some(id) = &generation {
            self.record_generation(id);
        }
        self.cold_until = now + left;
        self.unconfirmed = false;
        self.end_confirmed = left <= END_PROBE_LEAD * 2;
        self.cause = ColdCause::Probed;
        true
    }

    /// Until when the target is treated as cold.
    pub const fn cold_until(&self) -> Tick {
        self.cold_until
    }

    /// Whether the cold state is only assumed, so that a probe may show that the target is warm.
    pub const fn is_unconfirmed(&self) -> bool {
        self.unconfirmed
    }

    /// When the target is to be probed for its remaining cold time; `None` if it is warm, or if
    /// its own report gives the end.
    pub fn next_probe(&self, now: Tick) -> Option<Tick> {
        if now >= self.cold_until || self.end_confirmed {
            return None;
        }
        let left = self.cold_until.since(now);
        match self.unconfirmed {
            true => Some(now),
            false => Some(now + left.saturating_sub(END_PROBE_LEAD)),
        }
    }

    /// The event from which the cold time follows.
    pub const fn cause(&self) -> ColdCause {
        self.cause
    }

    /// The current generation of the target, as named by requests or the list.
    pub fn generation(&self) -> Option<&TargetId> {
        self.recent_generations[0].as_ref()
    }

    fn assume_cold(&mut self, now: Tick, start: &ColdStart, cause: ColdCause) {
        self.cold_until = now + start.duration;
        self.unconfirmed = true;
        self.end_confirmed = false;
        self.cause = cause;
        self.events += 1;
    }

    fn record_generation(&mut self, id: &TargetId) {
        if self.recent_generations[0].as_ref() != Some(id) {
            let before = self.recent_generations[0].replace(id.clone());
            self.recent_generations[1] = before;
        }
    }
}
