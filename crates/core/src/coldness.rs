//! Until when a target counts as cold, by all that the node beside it knows.

use std::time::Duration;

use crate::ColdStart;
use crate::TargetId;
use crate::TargetLife;
use crate::Tick;

#[cfg(test)]
mod tests;

/// What the node beside a target knows of how cold it is.
///
/// A target is cold for a time after its start, and may become cold again without a sign
/// on its connections. The instance list tells late, so that a target is taken as cold
/// from each event on that may have made it cold, until something tells better.
///
/// # Invariants
///
/// Once an event is known, `until` is no earlier than the end of the coldness that it
/// began.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use sassafrasspool_core::ColdStart;
/// use sassafrasspool_core::Coldness;
/// use sassafrasspool_core::Tick;
///
/// let start = ColdStart {
///     lasts: Duration::from_secs(3),
///     per_s: 10,
///     probe_path: None,
/// };
/// let mut coldness = Coldness::default();
/// coldness.follow_evacuation(Tick::from_millis(1_000), &start, true);
/// coldness.follow_evacuation(Tick::from_millis(9_000), &start, false);
/// assert!(coldness.is_unproved());
/// assert_eq!(coldness.until(), Tick::from_millis(12_000));
/// coldness.probed(Tick::from_millis(9_010), Duration::ZERO);
/// assert_eq!(coldness.until(), Tick::from_millis(9_010));
/// ```
#[derive(Debug, Default)]
pub struct Coldness {
    listed: Option<TargetLife>,
    /// How long the list gave the target to stay cold when it was last seen.
    listed_for: Duration,
    /// The start that requests are meant for, and the one before it.
    named: [Option<TargetId>; 2],
    evacuated: bool,
    until: Tick,
    unproved: bool,
}

impl Coldness {
    /// Takes over what the instance list tells of the target.
    pub fn follow_list(
        &mut self,
        now: Tick,
        start: &ColdStart,
        life: &TargetLife,
        cold_for: Duration,
    ) {
        let same = self.listed.as_ref().is_some_and(|it| it.is_same(life));
        let first = self.listed.is_none();
        let grew = cold_for > self.listed_for;
        self.listed_for = cold_for;
        if same && !grew {
            return;
        }
        self.listed = Some(life.clone());
        let known = self.named[0].as_ref() == Some(&life.id);
        self.name(&life.id);
        if first {
            // The process beside the target has just started, and its list may be older
            // than what made the target cold.
            return self.suspect(now, start);
        }
        let until = now + cold_for;
        match known && !same {
            // Requests named this start before: both are bounds on the same coldness.
            true => self.until = self.until.min(until),
            false => self.until = until,
        }
        self.unproved = false;
    }

    /// Takes over whether the target's failure domain is evacuated.
    pub fn follow_evacuation(&mut self, now: Tick, start: &ColdStart, evacuated: bool) {
        let ended = self.evacuated && !evacuated;
        self.evacuated = evacuated;
        if ended {
            self.suspect(now, start);
        }
    }

    /// Notes that a request is meant for a start of the target, which may be one that the
    /// list held here doesn't name yet.
    pub fn follow_request(&mut self, now: Tick, start: &ColdStart, life: &str) {
        let is_known = |id: &TargetId| id.as_str() == life;
        if self.named.iter().flatten().any(is_known) {
            return;
        }
        if let Ok(id) = TargetId::new(life) {
            self.name(&id);
            self.suspect(now, start);
        }
    }

    /// Takes over how much longer the target itself says that it is cold.
    pub fn probed(&mut self, now: Tick, left: Duration) {
        self.until = now + left;
        self.unproved = false;
    }

    /// Until when the target counts as cold.
    pub const fn until(&self) -> Tick {
        self.until
    }

    /// Whether the target may be warm already, so that asking it is worth a probe.
    pub const fn is_unproved(&self) -> bool {
        self.unproved
    }

    fn suspect(&mut self, now: Tick, start: &ColdStart) {
        self.until = now + start.lasts;
        self.unproved = true;
    }

    fn name(&mut self, id: &TargetId) {
        if self.named[0].as_ref() != Some(id) {
            let before = self.named[0].replace(id.clone());
            self.named[1] = before;
        }
    }
}
