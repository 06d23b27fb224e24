//! Settings of the window of request keys.

use std::time::Duration;

use crate::Error;
use crate::Result;
use crate::Step;

/// How long and how much an owner remembers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RepeatSettings {
    /// How long a caller may use a key after its first attempt.
    pub hold: Duration,
    /// How old the proof may be that the instance list is in force. It must be
    /// the same on every node, and longer than a proof takes to get around:
    /// two watches of the platform and some rounds of comparing with a peer,
    /// one more for each doubling of the fleet.
    pub lease: Duration,
    /// Keys that are remembered at most.
    pub max_keys: usize,
    /// Bytes of stored answers at most, over all keys.
    pub max_bytes: usize,
    /// Bytes of one stored answer at most.
    pub max_answer_bytes: usize,
}

impl RepeatSettings {
    /// The same settings.
    ///
    /// # Errors
    ///
    /// Fails if a time or bound is zero.
    pub(super) fn validated(self) -> Result<RepeatSettings> {
        if self.hold.is_zero() || self.lease.is_zero() || self.max_keys == 0 {
            let message = "hold, lease and keys of the repeat window are more than zero";
            return Err(Error::new(Step::Check, message));
        }
        Ok(self)
    }

    /// How long an owner remembers a key: a repeat that was sent at the end of
    /// the hold time may be under way for a lease.
    pub(super) fn retention(&self) -> Duration {
        self.hold + self.lease
    }

    /// How long an owner waits before it runs a first attempt.
    pub(super) fn settling_period(&self) -> Duration {
        2 * self.lease
    }

    /// How long an owner waits before an unseen key means an unused one.
    pub(super) fn unseen_proof_period(&self) -> Duration {
        self.settling_period() + self.hold
    }
}

impl Default for RepeatSettings {
    fn default() -> RepeatSettings {
        RepeatSettings {
            hold: Duration::from_secs(300),
            lease: Duration::from_secs(30),
            max_keys: 50_000,
            max_bytes: 16 << 20,
            max_answer_bytes: 64 << 10,
        }
    }
}
