//! A service as the picker holds it.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::candidate::Candidate;
use super::pace::KindTimes;
use super::rate::Rate;
use crate::Budget;
use crate::EjectSettings;
use crate::Tick;

/// The weight of the newest answer in the average, as a shift.
const AVERAGE_SHIFT: u32 = 6;

/// What a node knows of a service as a whole, across snapshots.
#[derive(Debug, Default)]
pub(super) struct ServiceMeter {
    pub(super) budget: Budget,
    pub(super) kinds: KindTimes,
    /// Requests of the service that this node chose an endpoint for.
    pub(super) picks: Rate,
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
    /// Requests a second that a cold endpoint bears, if it bears less than a warm one.
    pub(super) cold_per_s: Option<u32>,
    /// Endpoints of all services, beside each of which a node sends requests.
    pub(super) fleet: usize,
    pub(super) meter: Arc<ServiceMeter>,
}

impl ServiceView {
    /// The part of requests for which cold endpoints are candidates, so that each gets
    /// from all nodes together about as much as it bears.
    ///
    /// Nodes take about as many requests each, so that a node's own rate tells the
    /// fleet's.
    pub(super) fn cold_share(&self, now: Tick) -> f32 {
        let Some(bears) = self.cold_per_s else {
            return 1.0;
        };
        let of_fleet = self.meter.picks.per_s(now) * self.fleet as f32;
        let of_endpoint = of_fleet / self.candidates.len().max(1) as f32;
        (bears as f32 / of_endpoint.max(1.0)).min(1.0)
    }
}
