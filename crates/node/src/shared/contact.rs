//! The age of the newest proof that the platform was in contact.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use sassafrasspool_core::Tick;

/// No proof so far.
const NEVER: u64 = u64::MAX;

/// When the platform was last known to be in contact, directly or by peers.
///
/// The traffic side leans on it to tell whether this node can have missed a
/// change of the instance list, such as the one that took a key from it.
#[derive(Debug)]
pub struct ContactAge(AtomicU64);

impl ContactAge {
    /// No contact so far.
    pub(super) fn new() -> ContactAge {
        ContactAge(AtomicU64::new(NEVER))
    }

    /// Notes that the platform was in contact at `at`; an older one is dropped.
    pub fn note(&self, at: Tick) {
        let newest = |held: u64| match held {
            NEVER => Some(at.as_micros()),
            held => (at.as_micros() > held).then_some(at.as_micros()),
        };
        // A refused update means that a newer proof is held.
        let _ = self
            .0
            .fetch_update(Ordering::Release, Ordering::Acquire, newest);
    }

    /// When the newest contact was, if there was one.
    pub fn at(&self) -> Option<Tick> {
        match self.0.load(Ordering::Acquire) {
            NEVER => None,
            us => Some(Tick::from_micros(us)),
        }
    }

    /// How old the newest contact is at `now`, if there was one.
    pub fn age(&self, now: Tick) -> Option<Duration> {
        self.at().map(|at| now.since(at))
    }
}
