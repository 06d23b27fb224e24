//! Requests that crash the target.

use std::time::Duration;

use serde::Deserialize;

/// Which requests crash the target as soon as they run, and for how long it is
/// down then.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CrashOn {
    /// The path that they ask for.
    pub path: String,
    /// Milliseconds for which such a request runs before the crash.
    pub after_ms: u64,
    /// Milliseconds from the crash to the next start.
    pub down_ms: u64,
}

impl CrashOn {
    /// For how long a request for `path` runs before it crashes the target, if it
    /// does.
    pub(super) fn crash_delay(&self, path: &str) -> Option<Duration> {
        (self.path == path).then_some(Duration::from_millis(self.after_ms))
    }

    /// How long the target is down then.
    pub(super) fn down(&self) -> Duration {
        Duration::from_millis(self.down_ms)
    }
}
