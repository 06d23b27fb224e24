//! A service of a snapshot with its meter, as the picker holds it.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::candidate::Candidate;
use super::rate::Rate;
use super::relative_latency::KindLatencies;
use crate::EjectSettings;
use crate::RequestRate;
use crate::RetryBudget;
use crate::Tick;

/// The weight of the newest answer in the average, as a right shift.
const AVERAGE_SHIFT: u32 = 6;

/// The smallest share of requests for which a rate-limited endpoint is a candidate.
const MIN_LIMITED_SHARE: f32 = 0.05;

/// The meter of a service as a whole, kept across snapshots.
#[derive(Debug, Default)]
pub(super) struct ServiceMeter {
    pub(super) budget: RetryBudget,
    pub(super) kinds: KindLatencies,
    /// Requests of the service that this node picked an endpoint for.
    pub(super) picks: Rate,
    mean_latency_us: AtomicU64,
}

impl ServiceMeter {
    /// Whether an answer was slow. Its latency is added to the average either way.
    ///
    /// Threads that race may lose one answer from the average.
    pub(super) fn is_slow(&self, took: Duration, cfg: &EjectSettings) -> bool {
        let us = u64::try_from(took.as_micros()).unwrap_or(u64::MAX >> 8);
        let held = self.mean_latency_us.load(Ordering::Relaxed);
        if held == 0 {
            self.mean_latency_us.store(us.max(1), Ordering::Relaxed);
            return false;
        }
        let slow = took >= cfg.slow_floor && us > held.saturating_mul(cfg.slow_factor.into());
        // A slow endpoint must not raise the average that it is compared with.
        let counted = us.min(held.saturating_mul(2));
        let average = held - (held >> AVERAGE_SHIFT) + (counted >> AVERAGE_SHIFT);
        self.mean_latency_us
            .store(average.max(1), Ordering::Relaxed);
        slow
    }
}

/// A service of one snapshot with its candidates.
///
/// # Invariants
///
/// The first `subset` candidates are the node's subset. The subset and the rest are each
/// ordered by tier.
#[derive(Debug)]
pub(super) struct ServiceView {
    pub(super) candidates: Vec<Candidate>,
    pub(super) subset: usize,
    /// Endpoints that get no requests because their failure domain is evacuated. They still
    /// own request keys: ownership depends on the instance list alone.
    pub(super) evacuated: Vec<Candidate>,
    /// Requests a second that a cold endpoint can serve, if that is less than a warm one can.
    pub(super) cold_per_s: Option<u32>,
    /// The number of endpoints of all services; the node of each one sends requests.
    pub(super) fleet_size: usize,
    pub(super) meter: Arc<ServiceMeter>,
}

impl ServiceView {
    /// The share of requests for which cold endpoints are candidates, so that each one gets
    /// from all nodes together about as many as it can serve.
    ///
    /// Nodes send about as many requests each, so that the rate of the fleet is estimated
    /// from the node's own.
    pub(super) fn cold_share(&self, now: Tick) -> f32 {
        match self.cold_per_s {
            Some(cold_per_s) => (cold_per_s as f32 / self.endpoint_rate(now)).min(1.0),
            None => 1.0,
        }
    }

    /// The share of requests for which an endpoint is a candidate whose target states a rate
    /// limit. It is never zero: only an answer shows that the limit has ended.
    pub(super) fn limited_share(&self, limit: RequestRate, endpoint_rate: f32) -> f32 {
        (limit.per_s() as f32 / endpoint_rate).clamp(MIN_LIMITED_SHARE, 1.0)
    }

    /// The requests a second of the whole fleet for each endpoint, at least one.
    pub(super) fn endpoint_rate(&self, now: Tick) -> f32 {
        let of_fleet = self.meter.picks.per_s(now) * self.fleet_size as f32;
        let of_endpoint = of_fleet / self.candidates.len().max(1) as f32;
        of_endpoint.max(1.0)
    }
}
