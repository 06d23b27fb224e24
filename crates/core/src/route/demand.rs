//! What a request demands of the endpoint that it is sent to.

use std::time::Duration;

use super::candidate::Candidate;
use crate::RouteSettings;
use crate::Tick;

/// The soft deadline that is assumed for large answers of routes without one. Delays of links
/// are compared with it.
const DEFAULT_SOFT_DEADLINE: Duration = Duration::from_secs(1);

/// The least soft deadline that delays are divided by.
const MIN_SOFT_DEADLINE: Duration = Duration::from_millis(1);

/// The largest number of endpoints of a service that are all compared for a large answer. It
/// bounds the time of a pick, and the connections of a node besides those of its subset.
const MAX_COMPARED: usize = 32;

/// The load of an endpoint elsewhere whose link isn't known: its answer would just be in time.
const UNKNOWN_LOAD: f32 = 1.0;

/// What a request demands of an endpoint.
#[derive(Debug, Clone, Copy)]
pub(super) enum Demand {
    /// A slot.
    Slot,
    /// A slot, and the endpoint's link for a large answer.
    Link { soft_deadline: Duration },
}

impl Demand {
    /// The demand of a request for a large answer.
    pub(super) fn large(soft_deadline: Option<Duration>) -> Demand {
        let soft_deadline = soft_deadline.unwrap_or(DEFAULT_SOFT_DEADLINE);
        Demand::Link {
            soft_deadline: soft_deadline.max(MIN_SOFT_DEADLINE),
        }
    }

    /// Whether the request is for a large answer.
    pub(super) const fn is_large(self) -> bool {
        matches!(self, Demand::Link { .. })
    }

    /// Whether all of `count` endpoints are compared rather than some of the subset that are
    /// drawn at random. A few links carry all large answers of a service, so that one left out
    /// is a large part of what they can deliver.
    pub(super) const fn compares_all(self, count: usize) -> bool {
        self.is_large() && count <= MAX_COMPARED
    }

    /// The endpoint's load if the request were sent there; above 1 the answer is late.
    pub(super) fn load(self, candidate: &Candidate, now: Tick, cfg: &RouteSettings) -> f32 {
        let by_slots = candidate.meter.load(now, candidate.slots, cfg);
        by_slots.max(self.link_load(candidate, now, cfg))
    }

    /// The cost by which endpoints are compared.
    pub(super) fn cost(self, candidate: &Candidate, now: Tick, cfg: &RouteSettings) -> f32 {
        let by_slots = candidate.meter.cost(now, candidate.slots, cfg);
        by_slots.max(self.link_load(candidate, now, cfg))
    }

    fn link_load(self, candidate: &Candidate, now: Tick, cfg: &RouteSettings) -> f32 {
        let Demand::Link { soft_deadline } = self else {
            return 0.0;
        };
        let delay = candidate.meter.link_delay(now);
        let load = delay.as_secs_f32() / soft_deadline.as_secs_f32();
        // Without a recent report, a link elsewhere isn't known to be better than a near one.
        // Otherwise each large answer that near links can't deliver in time would cross the
        // border to a link that seems idle.
        let is_known = candidate.tier == 0 || candidate.meter.has_link_report(now, cfg);
        match is_known {
            true => load,
            false => load.max(UNKNOWN_LOAD),
        }
    }
}
