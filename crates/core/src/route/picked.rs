//! A picked endpoint, whose request is counted until it ends.

use std::sync::Arc;
use std::sync::PoisonError;
use std::time::Duration;

use super::candidate::Candidate;
use super::demand::Demand;
use super::meter::Meter;
use super::service::ServiceView;
use crate::AttemptOutcome;
use crate::EndpointKey;
use crate::KindName;
use crate::LinkReport;
use crate::LoadReport;
use crate::Meters;
use crate::RequestRate;
use crate::RouteSettings;
use crate::TargetGeneration;
use crate::Tick;

/// An endpoint that was picked for a request; the request counts as in flight there until
/// this is dropped.
#[derive(Debug)]
#[must_use = "dropping it stops counting the request as in flight"]
pub struct Picked {
    cfg: RouteSettings,
    meters: Arc<Meters>,
    view: Arc<ServiceView>,
    endpoint: EndpointKey,
    meter: Arc<Meter>,
    load: f32,
    is_large: bool,
    picked_at: Tick,
}

impl Picked {
    pub(super) fn new(
        cfg: RouteSettings,
        meters: &Arc<Meters>,
        view: &Arc<ServiceView>,
        candidate: &Candidate,
        demand: Demand,
        now: Tick,
    ) -> Picked {
        let load = candidate.meter.load(now, candidate.slots, &cfg);
        candidate.meter.begin_request();
        if demand.is_large() {
            candidate.meter.begin_large();
        }
        Picked {
            cfg,
            meters: meters.clone(),
            view: view.clone(),
            endpoint: candidate.key,
            meter: candidate.meter.clone(),
            load,
            is_large: demand.is_large(),
            picked_at: now,
        }
    }

    /// The endpoint, in the snapshot that the picker was built from.
    pub const fn endpoint(&self) -> EndpointKey {
        self.endpoint
    }

    /// When the endpoint was picked.
    pub const fn picked_at(&self) -> Tick {
        self.picked_at
    }

    /// The endpoint's load over slots in percent, with this request, when it was picked.
    pub fn load_percent(&self) -> u32 {
        // The value is far below the bound at which the cast saturates.
        (self.load * 100.0) as u32
    }

    /// Records the load report of an answer's head.
    pub fn record_load(&self, now: Tick, load: LoadReport) {
        self.meter.record_load(now, load);
    }

    /// Records the link report of the head of an answer or refusal.
    pub fn record_link(&self, now: Tick, link: LinkReport) {
        self.meter.record_link(now, link);
    }

    /// Records how much longer the target is cold, as its node reported.
    pub fn mark_cold_for(&self, now: Tick, left: Duration) {
        self.meter.set_cold_until(now + left);
    }

    /// Records the rate limit that an answer of the target states, or that it states none.
    pub fn record_rate_limit(&self, limit: Option<RequestRate>) {
        self.meter.set_rate_limit(limit);
    }

    /// The rate limit that the target stated in its last answer to this node.
    pub fn rate_limit(&self) -> Option<RequestRate> {
        self.meter.rate_limit()
    }

    /// Records that the target of this generation states that it leaves: it gets no more
    /// requests of this node.
    pub fn mark_leaving(&self, generation: Option<&TargetGeneration>) {
        match generation {
            Some(generation) => self.meters.mark_leaving(generation),
            None => self.meter.set_leaving(true),
        }
    }

    /// Records the latency of an answer of that kind, for the endpoint's latency relative to
    /// others.
    pub fn record_latency(&self, kind: &KindName, took: Duration) {
        if let Some(ratio) = self.view.meter.kinds.ratio(kind, took) {
            self.meter.relative_latency.record(ratio);
        }
    }

    /// Ends the attempt and records its outcome for the endpoint.
    pub fn finish(self, now: Tick, outcome: AttemptOutcome) {
        self.record_outcome(now, outcome);
    }

    fn record_outcome(&self, now: Tick, outcome: AttemptOutcome) {
        let cfg = &self.cfg.eject;
        let health = &self.meter.health;
        let is_due = match outcome {
            AttemptOutcome::Answered(took) if self.view.meter.is_slow(took, cfg) => {
                health.record_slow(cfg)
            }
            AttemptOutcome::Answered(_) => {
                health.record_success();
                false
            }
            AttemptOutcome::Shed => {
                health.record_response();
                false
            }
            AttemptOutcome::RateLimited(wait) => {
                health.record_response();
                self.meter.pause(now + wait.min(self.cfg.drain_pause));
                false
            }
            AttemptOutcome::Draining => {
                self.meter.pause(now + self.cfg.drain_pause);
                false
            }
            AttemptOutcome::NoConnection => health.record_connect_failure(cfg),
            AttemptOutcome::Failed => health.record_error(cfg),
            AttemptOutcome::Cancelled => false,
        };
        if is_due {
            self.eject(now);
        }
    }

    fn eject(&self, now: Tick) {
        // Many endpoints fail at once when the node's own network fails. Beyond the bound
        // none is ejected, since ejecting all would refuse requests that some of them might
        // still answer. The lock makes the check and the ejection one step.
        let guard = self.meters.ejecting.lock();
        let _guard = guard.unwrap_or_else(PoisonError::into_inner);
        if self.meter.health.is_ejected(now) {
            return;
        }
        let all = &self.view.candidates;
        let out = all.iter().filter(|c| c.meter.health.is_ejected(now));
        let after = out.count() + 1;
        let percent = usize::try_from(self.cfg.eject.max_ejected_percent).unwrap_or(0);
        if after < all.len() && after * 100 <= all.len() * percent {
            self.meter.health.eject(now, &self.cfg.eject);
        }
    }
}

impl Drop for Picked {
    fn drop(&mut self) {
        self.meter.end_request();
        if self.is_large {
            self.meter.end_large();
        }
    }
}
