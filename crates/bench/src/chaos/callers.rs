//! How callers behave in a chaos run.

use std::time::Duration;

use crate::load::Repeats;

/// How callers repeat themselves.
pub const REPEATS: Repeats = Repeats {
    attempts: 3,
    pause: Duration::from_millis(150),
    impatient_percent: 5,
    impatient_after: Duration::from_millis(30),
};

/// How long callers want answers for.
pub const TIMEOUT: Duration = Duration::from_millis(1_500);

/// How much longer callers wait. A paused node may answer late, but it has
/// to answer.
pub const GRACE: Duration = Duration::from_millis(3_500);
