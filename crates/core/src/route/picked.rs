//! A choice that counts until it is over.

use std::sync::Arc;
use std::sync::PoisonError;
use std::time::Duration;

use super::candidate::Candidate;
use super::meter::Meter;
use super::service::ServiceView;
use crate::EndpointKey;
use crate::KindName;
use crate::LoadReport;
use crate::Meters;
use crate::RouteSettings;
use crate::Tick;
use crate::Verdict;

/// An endpoint that a request was sent to; counts there until it is dropped.
#[derive(Debug)]
#[must_use = "dropping it ends the count of the request"]
pub struct Picked {
    cfg: RouteSettings,
    meters: Arc<Meters>,
    view: Arc<ServiceView>,
    endpoint: EndpointKey,
    meter: Arc<Meter>,
    load: f32,
    since: Tick,
}

impl Picked {
    pub(super) fn new(
        cfg: RouteSettings,
        meters: &Arc<Meters>,
        view: &Arc<ServiceView>,
        candidate: &Candidate,
        now: Tick,
    ) -> Picked {
        let load = candidate.meter.load(now, candidate.slots, &cfg);
        candidate.meter.enter();
        Picked {
            cfg,
            meters: meters.clone(),
            view: view.clone(),
            endpoint: candidate.key,
            meter: candidate.meter.clone(),
            load,
            since: now,
        }
    }

    /// The endpoint, in the snapshot that the picker was built from.
    pub const fn endpoint(&self) -> EndpointKey {
        self.endpoint
    }

    /// When it was chosen.
    pub const fn since(&self) -> Tick {
        self.since
    }

    /// Its load over slots with this request, in percent, as it was chosen.
    pub fn load_percent(&self) -> u32 {
        // Far below what a cast would saturate at.
        (self.load * 100.0) as u32
    }

    /// Takes over the load that came with an answer's head.
    pub fn report(&self, now: Tick, load: LoadReport) {
        self.meter.report(now, load);
    }

    /// Takes over how much longer the target is cold, as the node beside it said.
    pub fn cold_for(&self, now: Tick, left: Duration) {
        self.meter.set_cold(now + left);
    }

    /// Takes in how long an answer of that kind took, which tells how fast the
    /// endpoint is beside others.
    pub fn timed(&self, kind: &KindName, took: Duration) {
        if let Some(ratio) = self.view.meter.kinds.ratio(kind, took) {
            self.meter.pace.note(ratio);
        }
    }

    /// Ends the try with what it says of the endpoint.
    pub fn finish(self, now: Tick, verdict: Verdict) {
        self.judge(now, verdict);
    }

    fn judge(&self, now: Tick, verdict: Verdict) {
        let cfg = &self.cfg.eject;
        let health = &self.meter.health;
        let due = match verdict {
            Verdict::Answered(took) if self.view.meter.is_slow(took, cfg) => health.slow(cfg),
            Verdict::Answered(_) => {
                health.good();
                false
            }
            Verdict::Shed => {
                health.alive();
                false
            }
            Verdict::Cold(wait) => {
                health.alive();
                self.meter.pause(now + wait.min(self.cfg.drain_pause));
                false
            }
            Verdict::Draining => {
                self.meter.pause(now + self.cfg.drain_pause);
                false
            }
            Verdict::NoConnection => health.no_connection(cfg),
            Verdict::Failed => health.failed(cfg),
            Verdict::Cancelled => false,
        };
        if due {
            self.eject(now);
        }
    }

    fn eject(&self, now: Tick) {
        // Many endpoints fail at once when the node's own network does: beyond
        // the bound they stay in, since leaving out all would refuse what some
        // of them might still answer. The lock makes look and change one step.
        let guard = self.meters.ejecting.lock();
        let _guard = guard.unwrap_or_else(PoisonError::into_inner);
        if self.meter.health.is_ejected(now) {
            return;
        }
        let all = &self.view.candidates;
        let out = all.iter().filter(|c| c.meter.health.is_ejected(now));
        let after = out.count() + 1;
        let percent = usize::try_from(self.cfg.eject.max_percent).unwrap_or(0);
        if after < all.len() && after * 100 <= all.len() * percent {
            self.meter.health.eject(now, &self.cfg.eject);
        }
    }
}

impl Drop for Picked {
    fn drop(&mut self) {
        self.meter.exit();
    }
}
