//! The faults that can be switched on.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// A change of switches: those that are absent stay as they are.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetSwitches {
    /// Refuses new work; what runs is finished.
    pub drain: Option<bool>,
    /// Milliseconds that each run takes longer.
    pub slow_ms: Option<u64>,
    /// Holds answers back after their work was done.
    pub late: Option<LateAnswers>,
    /// What the health and load endpoints say.
    pub health: Option<HealthReport>,
    /// Does the work and never answers.
    pub hang_after_run: Option<bool>,
    /// Breaks off in the middle of each answer's body.
    pub cut_body: Option<bool>,
}

/// Which answers come late.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LateAnswers {
    /// One in how many is late; 0 for none.
    pub every: u64,
    /// By how many milliseconds.
    pub by_ms: u64,
}

impl LateAnswers {
    /// How late the answer to the `n`th run is.
    pub(super) fn delay(self, n: u64) -> Duration {
        match self.every != 0 && n.is_multiple_of(self.every) {
            true => Duration::from_millis(self.by_ms),
            false => Duration::ZERO,
        }
    }
}

/// What the health and load endpoints say.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HealthReport {
    /// What is so.
    #[default]
    Truth,
    /// Healthy and idle, whatever is so.
    Well,
    /// Unhealthy and full, whatever is so.
    Ill,
    /// What was so when this was switched on.
    Frozen,
}

/// The switches as they stand.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ActiveSwitches {
    pub(super) drain: bool,
    pub(super) slow: Duration,
    pub(super) late: LateAnswers,
    pub(super) hang_after_run: bool,
    pub(super) cut_body: bool,
}

impl ActiveSwitches {
    /// Takes over the switches that are present.
    pub(super) fn apply(&mut self, switches: &TargetSwitches) {
        self.drain = switches.drain.unwrap_or(self.drain);
        self.slow = switches.slow_ms.map_or(self.slow, Duration::from_millis);
        self.late = switches.late.unwrap_or(self.late);
        self.hang_after_run = switches.hang_after_run.unwrap_or(self.hang_after_run);
        self.cut_body = switches.cut_body.unwrap_or(self.cut_body);
    }
}
