//! Settings of the deduplication by request key.

use std::time::Duration;

use crate::Error;
use crate::Result;
use crate::Step;

/// Times and bounds of the keys that an owner keeps.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DedupSettings {
    /// How long a caller may use a key after its first attempt.
    pub hold: Duration,
    /// The longest age of the proof that the instance list is in force. It must
    /// be the same on every node, and longer than the dissemination of a proof
    /// takes: two watches of the platform and some rounds of anti-entropy, one
    /// more for each doubling of the fleet.
    pub lease: Duration,
    /// The largest number of keys.
    pub max_keys: usize,
    /// The largest total size of the stored answers, in bytes.
    pub max_bytes: usize,
    /// The largest size of one stored answer, in bytes.
    pub max_answer_bytes: usize,
}

impl DedupSettings {
    /// Returns the settings if they are valid.
    ///
    /// # Errors
    ///
    /// Fails if `hold`, `lease` or `max_keys` is zero.
    pub(super) fn validated(self) -> Result<DedupSettings> {
        if self.hold.is_zero() || self.lease.is_zero() || self.max_keys == 0 {
            let message = "hold time, lease and number of request keys must be more than zero";
            return Err(Error::new(Step::Check, message));
        }
        Ok(self)
    }

    /// How long an owner keeps a key: a repeat sent at the end of the hold time
    /// may be in flight for a lease.
    pub(super) fn retention(&self) -> Duration {
        self.hold + self.lease
    }

    /// How long a node must have owned a key before it runs a first attempt.
    pub(super) fn settling_period(&self) -> Duration {
        2 * self.lease
    }

    /// How long a node must have owned a key before an unseen key is proved to
    /// be unused.
    pub(super) fn unseen_proof_period(&self) -> Duration {
        self.settling_period() + self.hold
    }
}

impl Default for DedupSettings {
    fn default() -> DedupSettings {
        DedupSettings {
            hold: Duration::from_secs(300),
            lease: Duration::from_secs(30),
            max_keys: 50_000,
            max_bytes: 16 << 20,
            max_answer_bytes: 64 << 10,
        }
    }
}
