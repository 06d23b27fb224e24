//! A service as the picker holds it.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::candidate::Candidate;
use super::pace::KindTimes;
use crate::Budget;
use crate::EjectSettings;

/// The weight of the newest answer in the average, as a shift.
const AVERAGE_SHIFT: u32 = 6;

/// What a node knows of a service as a whole, across snapshots.
#[derive(Debug, Default)]
pub(super) struct ServiceMeter {
    pub(super) budget: Budget,
    pub(super) kinds: KindTimes,
    took_us: AtomicU64,
}

impl ServiceMeter {
    /// Whether an answer was slow; it goes into the average either way.
    ///
    /// Threads that race may lose one answer from the average.
    pub(super) fn is_slow(&self, took: Duration, cfg: &EjectSettings) -> bool {
        let us = u64::try_from(took.as_micros()).unwrap_or(u64::MAX >> 8);
        let held = self.took_us.load(Ordering::Relaxed);
        if held == 0 {
            self.took_us.store(us.max(1), Ordering::Relaxed);
            return false;
        }
        let slow = took >= cfg.slow_floor && us > held.saturating_mul(cfg.slow_factor.into());
        // A slow endpoint must not raise the mark that it is judged by.
        let counted = us.min(held.saturating_mul(2));
        let average = held - (held >> AVERAGE_SHIFT) + (counted >> AVERAGE_SHIFT);
        self.took_us.store(average.max(1), Ordering::Relaxed);
        slow
    }
}

/// A service of one snapshot.
///
/// # Invariants
///
/// The first `subset` candidates are the node's subset; both parts are in the
/// order of their tiers.
#[derive(Debug)]
pub(super) struct ServiceView {
    pub(super) candidates: Vec<Candidate>,
    pub(super) subset: usize,
    /// Endpoints that take no work since their failure domain is evacuated. They own
    /// request keys all the same: ownership follows the instance list alone.
    pub(super) evacuated: Vec<Candidate>,
    pub(super) meter: std::sync::Arc<ServiceMeter>,
}
