//! The age of the newest proof of contact with the platform.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use sassafrasspool_core::Tick;

/// The stored value before the first contact.
const NO_CONTACT: u64 = u64::MAX;

/// The time of the newest proven contact with the platform, by this node or by a
/// peer.
///
/// The traffic side logs it with requests: it shows whether this node can have missed
/// a change of the instance list, such as one that moved the ownership of a request
/// key to another node.
#[derive(Debug)]
pub struct ContactAge(AtomicU64);

impl ContactAge {
    /// The state before the first contact.
    pub(super) fn new() -> ContactAge {
        ContactAge(AtomicU64::new(NO_CONTACT))
    }

    /// Records a contact with the platform at `at`; an older one is ignored.
    pub fn record(&self, at: Tick) {
        let newest = |held: u64| match held {
            NO_CONTACT => Some(at.as_micros()),
            held => (at.as_micros() > held).then_some(at.as_micros()),
        };
        // The update fails if the recorded contact is as new or newer.
        let _ = self
            .0
            .fetch_update(Ordering::Release, Ordering::Acquire, newest);
    }

    /// The time of the newest contact, if there was one.
    pub fn at(&self) -> Option<Tick> {
        match self.0.load(Ordering::Acquire) {
            NO_CONTACT => None,
            us => Some(Tick::from_micros(us)),
        }
    }

    /// The age of the newest contact at `now`, if there was one.
    pub fn age(&self, now: Tick) -> Option<Duration> {
        self.at().map(|at| now.since(at))
    }
}
