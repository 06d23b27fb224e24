//! The switches that simulate faults of a target.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// A change of switches; absent ones stay unchanged.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetSwitches {
    /// Refuses new work and finishes runs in progress.
    pub drain: Option<bool>,
    /// The extra service time of each run in milliseconds.
    pub slow_ms: Option<u64>,
    /// Delays answers after their work is done.
    pub late: Option<LateAnswers>,
    /// What the health and load endpoints report.
    pub health: Option<HealthReport>,
    /// Completes the work and never answers.
    pub hang_after_run: Option<bool>,
    /// Cuts each answer off after half of its body.
    pub cut_body: Option<bool>,
    /// Answers with malformed heads, marked by [`super::MALFORMED_HEADER`].
    pub malformed: Option<bool>,
    /// The rate limit in requests a second that each answer states; 0 for none. The limit
    /// isn't enforced.
    pub rate_limit_per_s: Option<f64>,
    /// States in each answer that the target leaves; it serves requests all the same.
    pub leaving: Option<bool>,
}

/// The answers to delay.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LateAnswers {
    /// Every how many runs an answer is delayed; 0 for none.
    pub every: u64,
    /// The delay in milliseconds.
    pub by_ms: u64,
}

impl LateAnswers {
    /// The delay of the answer to the `n`th run.
    pub(super) fn delay(self, n: u64) -> Duration {
        match self.every != 0 && n.is_multiple_of(self.every) {
            true => Duration::from_millis(self.by_ms),
            false => Duration::ZERO,
        }
    }
}

/// What the health and load endpoints report.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HealthReport {
    /// The actual state.
    #[default]
    Truth,
    /// Healthy and idle, regardless of the actual state.
    Well,
    /// Unhealthy and full, regardless of the actual state.
    Ill,
    /// The actual state when this was switched on.
    Frozen,
}

/// The current switches.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ActiveSwitches {
    pub(super) drain: bool,
    pub(super) slow: Duration,
    pub(super) late: LateAnswers,
    pub(super) hang_after_run: bool,
    pub(super) cut_body: bool,
    pub(super) malformed: bool,
    pub(super) rate_limit_per_s: f64,
    pub(super) leaving: bool,
}

impl ActiveSwitches {
    /// Applies the switches that are present.
    pub(super) fn apply(&mut self, switches: &TargetSwitches) {
        self.drain = switches.drain.unwrap_or(self.drain);
        self.slow = switches.slow_ms.map_or(self.slow, Duration::from_millis);
        self.late = switches.late.unwrap_or(self.late);
        self.hang_after_run = switches.hang_after_run.unwrap_or(self.hang_after_run);
        self.cut_body = switches.cut_body.unwrap_or(self.cut_body);
        self.malformed = switches.malformed.unwrap_or(self.malformed);
        self.rate_limit_per_s = switches.rate_limit_per_s.unwrap_or(self.rate_limit_per_s);
        self.leaving = switches.leaving.unwrap_or(self.leaving);
    }
}
