//! The choice itself.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use slotmap::SecondaryMap;

use super::candidate::Candidate;
use super::percent;
use super::position::TIERS;
use super::rendezvous::Score;
use super::service::ServiceView;
use super::subset::arrange;
use crate::Budget;
use crate::EndpointKey;
use crate::Homes;
use crate::InstanceState;
use crate::Meters;
use crate::Picked;
use crate::Position;
use crate::Reason;
use crate::Refusal;
use crate::RequestKey;
use crate::RouteSettings;
use crate::ServiceKey;
use crate::Snapshot;
use crate::Step;
use crate::Tick;

/// Chooses endpoints of the services of one snapshot.
///
/// It belongs to that snapshot: keys of another mean nothing here. Build it
/// beside the snapshot and put both in force together.
#[derive(Debug)]
pub struct Picker {
    cfg: RouteSettings,
    meters: Arc<Meters>,
    services: SecondaryMap<ServiceKey, Arc<ServiceView>>,
}

impl Picker {
    /// Binds the meters to a snapshot.
    pub fn build(
        snapshot: &Snapshot,
        position: &Position,
        cfg: RouteSettings,
        meters: &Arc<Meters>,
        now: Tick,
    ) -> Picker {
        let node = Score::of(position.instance.as_str());
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
                let among = match is_evacuated {
                    true => &mut evacuated,
                    false => &mut candidates,
                };
                among.push(Candidate {
                    key,
                    id: instance.id.clone(),
                    region: instance.region.clone(),
                    tier: position.tier_of(instance),
                    slots: instance.slots,
                    score: Score::of(instance.id.as_str()),
                    meter: meters.endpoint(instance, is_evacuated, cold_start, now),
                });
            }
            // INVARIANT: The arrangement orders both parts by tier.
            let subset = arrange(&mut candidates, node, &cfg);
            let view = ServiceView {
                candidates,
                subset,
                evacuated,
                cold_per_s: cold_start.map(|cold| cold.per_s),
                fleet: snapshot.endpoint_count(),
                meter: meters.service(&service.entry.name),
            };
            services.insert(key, Arc::new(view));
        }
        meters.mark_built();
        Picker {
            cfg,
            meters: meters.clone(),
            services,
        }
    }

    /// Chooses an endpoint at home other than those in `avoid` and counts the
    /// request there.
    ///
    /// # Errors
    ///
    /// Refuses as not run if no endpoint takes new work.
    pub fn pick(
        &self,
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
            return Err(Refusal::not_run(Step::Route, Reason::NotAtHome));
        }
        view.meter.picks.note(now);
        let takes_cold = rng.random_range(0.0..1.0) < view.cold_share(now);
        let (subset, rest) = view.candidates.split_at(view.subset);
        let wanted = |c: &Candidate| !avoid.contains(&c.key) && homes.allows(&c.region);
        let warm_enough = |c: &Candidate| takes_cold || !c.meter.is_cold(now);
        let usable = |c: &Candidate| wanted(c) && c.meter.is_usable(now) && warm_enough(c);
        // When all that are left are ejected, the fault is likelier in what
        // judged them: they are tried rather than nothing. So are cold ones.
        let open = |c: &Candidate| wanted(c) && c.meter.is_open(now);
        let found = self
            .best_of(subset, now, usable, rng)
            .or_else(|| self.best_of(rest, now, usable, rng))
            .or_else(|| self.best_of(&view.candidates, now, open, rng));
        match found {
            Some(candidate) => Ok(self.picked(view, candidate, now)),
            None => Err(refusal.after(self.next_open(view, now))),
        }
    }

    /// How long it takes until an endpoint that is left out for a time takes work again.
    fn next_open(&self, view: &ServiceView, now: Tick) -> Duration {
        let paused = view
            .candidates
            .iter()
            .filter_map(|c| c.meter.paused_until());
        let left = paused.map(|until| until.since(now));
        let left = left.filter(|left| !left.is_zero()).min();
        left.map_or(self.cfg.drain_pause, |left| left.min(self.cfg.drain_pause))
    }

    /// Whether there is an endpoint at home to choose other than those in `avoid`.
    pub fn has_other(
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

    /// The endpoint that owns a request key, and counts the request there.
    ///
    /// The owner goes by the list and not by who can be reached or looks well:
    /// were it otherwise, two parts of a divided fleet would name two owners.
    ///
    /// # Errors
    ///
    /// Refuses as not run if the service has no live endpoint, or the owner is
    /// known not to take new work or isn't at home.
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
        let by_score = |c: &&Candidate| (c.score.against(key.score()), c.id.clone());
        let owners = view.candidates.iter().chain(&view.evacuated);
        match owners.max_by_key(by_score) {
            Some(owner) if view.evacuated.iter().any(|c| c.key == owner.key) => {
                Err(Refusal::not_run(Step::Route, Reason::Evacuated))
            }
            Some(owner) if !homes.allows(&owner.region) => {
                Err(Refusal::not_run(Step::Route, Reason::NotAtHome))
            }
            Some(owner) => Ok(self.picked(view, owner, now)),
            None => Err(refusal),
        }
    }

    /// The retry budget of a service.
    pub fn budget(&self, service: ServiceKey) -> Option<&Budget> {
        self.services.get(service).map(|view| &view.meter.budget)
    }

    /// The endpoints of a service that this node sends to as a rule.
    pub fn subset(&self, service: ServiceKey) -> impl Iterator<Item = EndpointKey> {
        let view = self.services.get(service);
        let subset = view.map_or(&[][..], |view| &view.candidates[..view.subset]);
        subset.iter().map(|c| c.key)
    }

    fn picked(&self, view: &Arc<ServiceView>, candidate: &Candidate, now: Tick) -> Picked {
        Picked::new(self.cfg, &self.meters, view, candidate, now)
    }

    /// The best endpoint tier by tier; a further tier is only looked at while
    /// the best of those before is full.
    fn best_of<'a>(
        &self,
        among: &'a [Candidate],
        now: Tick,
        fits: impl Fn(&Candidate) -> bool + Copy,
        rng: &mut impl Rng,
    ) -> Option<&'a Candidate> {
        let full = percent(self.cfg.spill_percent);
        let margin = percent(self.cfg.spill_margin_percent);
        let mut best: Option<(f32, &Candidate)> = None;
        for tier in 0..TIERS {
            let in_tier = |c: &&Candidate| c.tier == tier && fits(c);
            let Some(found) = self.least_of_drawn(among, now, in_tier, rng) else {
                continue;
            };
            let load = found.meter.load(now, found.slots, &self.cfg);
            // What was found so far is full, or this tier wouldn't be looked at.
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

    /// The one of least cost among some that are drawn at random.
    fn least_of_drawn<'a>(
        &self,
        among: &'a [Candidate],
        now: Tick,
        fits: impl Fn(&&Candidate) -> bool + Copy,
        rng: &mut impl Rng,
    ) -> Option<&'a Candidate> {
        let count = among.iter().filter(fits).count();
        let mut left_to_draw = self.cfg.choices.min(count);
        let mut best: Option<(f32, u32, &Candidate)> = None;
        // Each of those that are left is drawn with the same probability.
        for (passed, candidate) in among.iter().filter(fits).enumerate() {
            // Meters may have changed since they were counted, and none may be left.
            let left = count.saturating_sub(passed);
            let bits = rng.next_u64();
            if below(bits as u32, left) >= left_to_draw {
                continue;
            }
            left_to_draw -= 1;
            let cost = candidate.meter.cost(now, candidate.slots, &self.cfg);
            // Of equals a random one goes first, not the one that stands first.
            let turn = (bits >> 32) as u32;
            if best.is_none_or(|(held, held_turn, _)| (cost, turn) < (held, held_turn)) {
                best = Some((cost, turn, candidate));
            }
            if left_to_draw == 0 {
                break;
            }
        }
        best.map(|(_, _, candidate)| candidate)
    }
}

/// A number below `bound` from 32 random bits.
fn below(bits: u32, bound: usize) -> usize {
    let wide = u64::from(bits) * u64::try_from(bound).unwrap_or(u64::MAX);
    usize::try_from(wide >> 32).unwrap_or(0)
}
