//! The setting for requests that crash the target.

use std::time::Duration;

use serde::Deserialize;

/// The requests that crash the target when they run, and the downtime after such
/// a crash.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CrashOn {
    /// The path of these requests.
    pub path: String,
    /// Milliseconds from the start of such a request to the crash.
    pub after_ms: u64,
    /// Milliseconds from the crash to the next start.
    pub down_ms: u64,
}

impl CrashOn {
    /// The time from the start of a request for `path` to the crash; `None` if it
    /// doesn't crash the target.
    pub(super) fn crash_delay(&self, path: &str) -> Option<Duration> {
        (self.path == path).then_some(Duration::from_millis(self.after_ms))
    }

    /// The time from the crash to the next start.
    pub(super) fn down(&self) -> Duration {
        Duration::from_millis(self.down_ms)
    }
}
