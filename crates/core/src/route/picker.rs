//! Picking an endpoint for a request.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use slotmap::SecondaryMap;

use super::candidate::Candidate;
use super::demand::Demand;
use super::locality::TIERS;
use super::percent_to_share;
use super::rendezvous::Score;
use super::service::ServiceView;
use super::subset::arrange_subset;
use crate::EndpointKey;
use crate::Homes;
use crate::InstanceState;
use crate::Locality;
use crate::Meters;
use crate::Picked;
use crate::Reason;
use crate::Refusal;
use crate::RequestKey;
use crate::RetryBudget;
use crate::RouteSettings;
use crate::ServiceKey;
use crate::Snapshot;
use crate::Step;
use crate::Tick;

/// Picks endpoints of the services of one snapshot.
///
/// A picker is only valid for that snapshot: keys of another one are meaningless here. Build
/// it together with the snapshot and replace both at once.
#[derive(Debug)]
pub struct Picker {
    cfg: RouteSettings,
    meters: Arc<Meters>,
    services: SecondaryMap<ServiceKey, Arc<ServiceView>>,
}

impl Picker {
    /// Binds the meters to a snapshot for a node at `position`.
    pub fn build(
        snapshot: &Snapshot,
        locality: &Locality,
        cfg: RouteSettings,
        meters: &Arc<Meters>,
        now: Tick,
    ) -> Picker {
        let node = Score::of(locality.instance.as_str());
        let mut services = SecondaryMap::new();
        for (key, service) in snapshot.services() {
            let cold_start = service.entry.cold_start.as_ref();
            let mut candidates = Vec::new();
            let mut evacuated = Vec::new();
            for (key, endpoint) in snapshot.endpoints_of(service) {
                let instance = &endpoint.instance;
                if instance.state == InstanceState::Leaving {
                    continue;
                }
                let is_evacuated = snapshot.is_evacuated(&instance.domain);
                let group = match is_evacuated {
                    true => &mut evacuated,
                    false => &mut candidates,
                };
                group.push(Candidate {
                    key,
                    id: instance.id.clone(),
                    region: instance.region.clone(),
                    tier: locality.tier_of(instance),
                    slots: instance.slots,
                    score: Score::of(instance.id.as_str()),
                    meter: meters.bind_endpoint(instance, is_evacuated, cold_start, now),
                });
            }
            // INVARIANT: `arrange_subset` orders the subset and the rest by tier.
            let subset = arrange_subset(&mut candidates, node, &cfg);
            let view = ServiceView {
                candidates,
                subset,
                evacuated,
                cold_per_s: cold_start.map(|cold| cold.per_s),
                fleet_size: snapshot.endpoint_count(),
                meter: meters.service_meter(&service.entry.name),
            };
            services.insert(key, Arc::new(view));
        }
        meters.mark_bound();
        Picker {
            cfg,
            meters: meters.clone(),
            services,
        }
    }

    /// Picks an endpoint in the route's regions other than those in `avoid` and counts the
    /// request there.
    ///
    /// # Errors
    ///
    /// Refuses as not run if no endpoint accepts new requests.
    pub fn pick(
        &self,
        service: ServiceKey,
        homes: &Homes,
        now: Tick,
        avoid: &[EndpointKey],
        rng: &mut impl Rng,
    ) -> Result<Picked, Refusal> {
        self.pick_for(Demand::Slot, service, homes, now, avoid, rng)
    }

    /// Picks an endpoint as [`Picker::pick`] does for a request whose answer is large.
    ///
    /// Such an answer takes the link of its endpoint for a while. The delay of the link as a
    /// part of the route's soft deadline counts as load, so that an endpoint in another failure
    /// domain is only picked if the links of the nearer ones would make the answer late.
    ///
    /// # Errors
    ///
    /// Refuses as not run if no endpoint accepts new requests.
    pub fn pick_large(
        &self,
        service: ServiceKey,
        homes: &Homes,
        now: Tick,
        avoid: &[EndpointKey],
        soft_deadline: Option<Duration>,
        rng: &mut impl Rng,
    ) -> Result<Picked, Refusal> {
        let demand = Demand::large(soft_deadline);
        self.pick_for(demand, service, homes, now, avoid, rng)
    }

    fn pick_for(
        &self,
        demand: Demand,
        service: ServiceKey,
        homes: &Homes,
        now: Tick,
        avoid: &[EndpointKey],
        rng: &mut impl Rng,
    ) -> Result<Picked, Refusal> {
        let refusal = Refusal::not_run(Step::Route, Reason::NoEndpoint);
        let Some(view) = self.services.get(service) else {
            return Err(refusal);
        };
        if view.candidates.is_empty() && !view.evacuated.is_empty() {
            return Err(Refusal::not_run(Step::Route, Reason::Evacuated));
        }
        let is_listed = !view.candidates.is_empty();
        if is_listed && !view.candidates.iter().any(|c| homes.allows(&c.region)) {
            return Err(Refusal::not_run(Step::Route, Reason::OutsideHomes));
        }
        view.meter.picks.record(now);
        let draw: f32 = rng.random_range(0.0..1.0);
        let takes_cold = draw < view.cold_share(now);
        let endpoint_rate = view.endpoint_rate(now);
        let subset = match demand.compares_all(view.candidates.len()) {
            true => view.candidates.len(),
            false => view.subset,
        };
        let (subset, rest) = view.candidates.split_at(subset);
        let allowed = |c: &Candidate| !avoid.contains(&c.key) && homes.allows(&c.region);
        let warm_enough = |c: &Candidate| takes_cold || !c.meter.is_cold(now);
        let within_limit = |c: &Candidate| {
            let limit = c.meter.rate_limit();
            limit.is_none_or(|limit| draw < view.limited_share(limit, endpoint_rate))
        };
        let usable = |c: &Candidate| {
            allowed(c) && c.meter.is_usable(now) && warm_enough(c) && within_limit(c)
        };
        // When all remaining endpoints are ejected, the fault is more likely in this node or
        // its network: they are tried rather than none. So are cold and limited ones.
        let open = |c: &Candidate| allowed(c) && c.meter.is_open(now);
        let found = self
            .best_by_tier(demand, subset, now, usable, rng)
            .or_else(|| self.best_by_tier(demand, rest, now, usable, rng))
            .or_else(|| self.best_by_tier(demand, &view.candidates, now, open, rng));
        match found {
            Some(candidate) => Ok(self.count_pick(view, candidate, demand, now)),
            None => Err(refusal.with_retry_after(self.time_until_open(view, now))),
        }
    }

    /// How long it takes until an endpoint that is excluded for a time accepts requests
    /// again.
    fn time_until_open(&self, view: &ServiceView, now: Tick) -> Duration {
        let paused = view
            .candidates
            .iter()
            .filter_map(|c| c.meter.paused_until());
        let left = paused.map(|until| until.since(now));
        let left = left.filter(|left| !left.is_zero()).min();
        left.map_or(self.cfg.drain_pause, |left| left.min(self.cfg.drain_pause))
    }

    /// Whether an endpoint in the route's regions other than those in `avoid` can be picked.
    pub fn has_alternative(
        &self,
        service: ServiceKey,
        homes: &Homes,
        now: Tick,
        avoid: &[EndpointKey],
    ) -> bool {
        let view = self.services.get(service);
        let mut candidates = view.into_iter().flat_map(|view| &view.candidates);
        candidates
            .any(|c| !avoid.contains(&c.key) && homes.allows(&c.region) && c.meter.is_open(now))
    }

    /// Picks the endpoint that owns a request key and counts the request there.
    ///
    /// The owner depends on the instance list alone, not on reachability or health.
    /// Otherwise two sides of a partitioned fleet would choose two owners.
    ///
    /// # Errors
    ///
    /// Refuses as not run if the service has no live endpoint, or the owner is evacuated or
    /// outside of the route's regions.
    pub fn pick_owner(
        &self,
        service: ServiceKey,
        homes: &Homes,
        now: Tick,
        key: &RequestKey,
    ) -> Result<Picked, Refusal> {
        let refusal = Refusal::not_run(Step::Route, Reason::NoEndpoint);
        let Some(view) = self.services.get(service) else {
            return Err(refusal);
        };
        let by_score = |c: &&Candidate| (c.score.combine(key.score()), c.id.clone());
        let owners = view.candidates.iter().chain(&view.evacuated);
        match owners.max_by_key(by_score) {
            Some(owner) if view.evacuated.iter().any(|c| c.key == owner.key) => {
                Err(Refusal::not_run(Step::Route, Reason::Evacuated))
            }
            Some(owner) if !homes.allows(&owner.region) => {
                Err(Refusal::not_run(Step::Route, Reason::OutsideHomes))
            }
            Some(owner) => Ok(self.count_pick(view, owner, Demand::Slot, now)),
            None => Err(refusal),
        }
    }

    /// The retry budget of a service.
    pub fn budget(&self, service: ServiceKey) -> Option<&RetryBudget> {
        self.services.get(service).map(|view| &view.meter.budget)
    }

    /// The endpoints of a service that this node normally sends to.
    pub fn subset(&self, service: ServiceKey) -> impl Iterator<Item = EndpointKey> {
        let view = self.services.get(service);
        let subset = view.map_or(&[][..], |view| &view.candidates[..view.subset]);
        subset.iter().map(|c| c.key)
    }

    fn count_pick(
        &self,
        view: &Arc<ServiceView>,
        candidate: &Candidate,
        demand: Demand,
        now: Tick,
    ) -> Picked {
        Picked::new(self.cfg, &self.meters, view, candidate, demand, now)
    }

    /// The best endpoint, tier by tier. A further tier is only considered if the best of
    /// the nearer ones is full.
    fn best_by_tier<'a>(
        &self,
        demand: Demand,
        among: &'a [Candidate],
        now: Tick,
        fits: impl Fn(&Candidate) -> bool + Copy,
        rng: &mut impl Rng,
    ) -> Option<&'a Candidate> {
        let full = percent_to_share(self.cfg.spill_percent);
        let margin = percent_to_share(self.cfg.spill_margin_percent);
        let mut best: Option<(f32, &Candidate)> = None;
        for tier in 0..TIERS {
            let in_tier = |c: &&Candidate| c.tier == tier && fits(c);
            let Some(found) = self.sample_least_cost(demand, among, now, in_tier, rng) else {
                continue;
            };
            let load = demand.load(found, now, &self.cfg);
            // What was found in nearer tiers is full, or this tier wouldn't be considered.
            let better = |held: f32| load <= full || load + margin < held;
            if best.is_none_or(|(held, _)| better(held)) {
                best = Some((load, found));
            }
            if best.is_some_and(|(held, _)| held <= full) {
                break;
            }
        }
        best.map(|(_, found)| found)
    }

    /// The endpoint of least cost among some that are drawn at random, or among all.
    fn sample_least_cost<'a>(
        &self,
        demand: Demand,
        among: &'a [Candidate],
        now: Tick,
        fits: impl Fn(&&Candidate) -> bool + Copy,
        rng: &mut impl Rng,
    ) -> Option<&'a Candidate> {
        let count = among.iter().filter(fits).count();
        let mut left_to_draw = match demand.compares_all(among.len()) {
            true => count,
            false => self.cfg.choices.min(count),
        };
        let mut best: Option<(f32, u32, &Candidate)> = None;
        // Each of the remaining ones is drawn with the same probability.
        for (passed, candidate) in among.iter().filter(fits).enumerate() {
            // Meters may have changed since the count, so that none may be left.
            let left = count.saturating_sub(passed);
            let bits = rng.next_u64();
            if uniform_below(bits as u32, left) >= left_to_draw {
                continue;
            }
            left_to_draw -= 1;
            let cost = demand.cost(candidate, now, &self.cfg);
            // Among equals a random one is chosen, not the first in order.
            let tie_break = (bits >> 32) as u32;
            if best
                .is_none_or(|(held, held_tie_break, _)| (cost, tie_break) < (held, held_tie_break))
            {
                best = Some((cost, tie_break, candidate));
            }
            if left_to_draw == 0 {
                break;
            }
        }
        best.map(|(_, _, candidate)| candidate)
    }
}

/// A uniform number below `bound` from 32 random bits.
fn uniform_below(bits: u32, bound: usize) -> usize {
    let wide = u64::from(bits) * u64::try_from(bound).unwrap_or(u64::MAX);
    usize::try_from(wide >> 32).unwrap_or(0)
}
