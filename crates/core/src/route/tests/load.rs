//! A simulation of a load on the targets of a service in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

use super::fixture::Fixture;
use super::fixture::NOW;
use super::fixture::near;
use crate::AttemptOutcome;
use crate::KindName;
use crate::LoadReport;
use crate::Picked;
use crate::RouteSettings;
use crate::Tick;

/// Nodes that send requests, each with the meters of its own answers alone.
const NODES: usize = 12;

/// The speeds of targets relative to the mean.
const SPEEDS: [f64; 12] = [0.7, 0.7, 1.6, 0.7, 0.7, 1.6, 0.7, 0.7, 1.6, 0.7, 0.7, 1.6];

/// Slots of each target, as the fixture lists them.
const SLOTS: usize = 10;

/// The mean service time at a target of mean speed, in seconds.
const MEAN_S: f64 = 0.36;

/// The standard deviation of the service time as a part of its mean.
const DEVIATION: f64 = 0.8;

/// The soft deadline of a request.
const SOFT_DEADLINE: Duration = Duration::from_secs(1);

/// The number of simulated requests.
const REQUESTS: usize = 20_000;

/// The first requests, which don't count since nodes have no meters yet.
const LEARNING: usize = REQUESTS / 4;

/// A request that a target runs or queues.
#[derive(Debug)]
struct Sent {
    target: usize,
    arrived: Tick,
    picked: Picked,
}

/// Nodes with their targets.
struct Simulation {
    nodes: Vec<Fixture>,
    /// When each slot of each target has finished all requests that it was given.
    free_at: Vec<[Tick; SLOTS]>,
    outstanding: [usize; SPEEDS.len()],
    sent: Vec<Option<Sent>>,
    ends: BinaryHeap<Reverse<(Tick, usize)>>,
    kind: KindName,
    rng: SmallRng,
}

impl Simulation {
    fn new(cfg: RouteSettings, seed: u64) -> Simulation {
        let ids: Vec<String> = (0..SPEEDS.len()).map(|n| format!("ad-{n}")).collect();
        let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
        let node = |n: usize| Fixture::with_settings(&format!("caller-{n}"), near(&ids), cfg);
        Simulation {
            nodes: (0..NODES).map(node).collect(),
            free_at: vec![[NOW; SLOTS]; SPEEDS.len()],
            outstanding: [0; SPEEDS.len()],
            sent: Vec::new(),
            ends: BinaryHeap::new(),
            kind: KindName::new("file-review").unwrap(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// An exponentially distributed time with that mean.
    fn gap(&mut self, mean_s: f64) -> Duration {
        let drawn: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        Duration::from_secs_f64(-drawn.ln() * mean_s)
    }

    /// The log-normally distributed service time at a target of mean speed, in seconds.
    fn service_time_s(&mut self) -> f64 {
        let variance = (1.0 + DEVIATION * DEVIATION).ln();
        let [a, b] = [(); 2].map(|()| self.rng.random_range(f64::MIN_POSITIVE..1.0));
        let normal = (-2.0 * f64::ln(a)).sqrt() * (std::f64::consts::TAU * b).cos();
        MEAN_S * (normal * variance.sqrt() - variance / 2.0).exp()
    }

    /// Sends a request through a random node.
    fn arrive(&mut self, now: Tick) {
        let node = self.rng.random_range(0..NODES);
        let picked = self.nodes[node].pick(now);
        let id = self.nodes[node].id(picked.endpoint()).as_str();
        let target: usize = id.strip_prefix("ad-").unwrap().parse().unwrap();
        let took = Duration::from_secs_f64(self.service_time_s() / SPEEDS[target]);
        let slot = self.free_at[target].iter_mut().min().unwrap();
        *slot = now.max(*slot) + took;
        self.ends.push(Reverse((*slot, self.sent.len())));
        self.outstanding[target] += 1;
        self.sent.push(Some(Sent {
            target,
            arrived: now,
            picked,
        }));
    }

    /// Answers the requests that have ended by `now`; returns how many of those that count are
    /// late.
    fn answer_ended(&mut self, now: Tick) -> usize {
        let mut late = 0;
        while let Some(Reverse((at, n))) = self.ends.peek().copied()
            && at <= now
        {
            self.ends.pop();
            let sent = self.sent[n].take().unwrap();
            let took = at.since(sent.arrived);
            let left = self.outstanding[sent.target] - 1;
            self.outstanding[sent.target] = left;
            let field = |n: usize| u16::try_from(n).unwrap();
            let load = LoadReport {
                in_flight: field(left.min(SLOTS)),
                slots: field(SLOTS),
                queued: field(left.saturating_sub(SLOTS)),
            };
            sent.picked.record_load(at, load);
            sent.picked.record_latency(&self.kind, took);
            sent.picked.finish(at, AttemptOutcome::Answered(took));
            late += usize::from(n >= LEARNING && took > SOFT_DEADLINE);
        }
        late
    }
}

/// The share of late answers at a load that is `utilisation` times the targets' capacity.
fn late_share(cfg: RouteSettings, utilisation: f64, seed: u64) -> f64 {
    let mut sim = Simulation::new(cfg, seed);
    let capacity: f64 = SPEEDS.iter().sum::<f64>() * SLOTS as f64 / MEAN_S;
    let mut now = NOW;
    let mut late = 0;
    for _ in 0..REQUESTS {
        now = now + sim.gap(1.0 / (capacity * utilisation));
        late += sim.answer_ended(now);
        sim.arrive(now);
    }
    late += sim.answer_ended(now + Duration::from_secs(600));
    late as f64 / (REQUESTS - LEARNING) as f64
}

/// The load as a part of the targets' capacity, and the bound on the share of late answers
/// relative to picking the less loaded of two.
#[derive(Debug)]
struct Case {
    utilisation: f64,
    max_ratio: f64,
}

/// Guards against long requests that run late at slow targets while faster ones have free
/// slots, and against overload of the faster ones.
#[rstest]
#[case(Case { utilisation: 0.3, max_ratio: 0.8 })]
#[case(Case { utilisation: 0.6, max_ratio: 0.9 })]
#[case(Case { utilisation: 0.85, max_ratio: 1.0 })]
fn choice_by_cost_gives_fewer_late_answers_than_by_load_alone(#[case] case: Case) {
    let by_cost = RouteSettings::default();
    let by_load = RouteSettings {
        choices: 2,
        idle_percent: 0,
        ..by_cost
    };
    for seed in 0..5 {
        let [by_load_late, by_cost_late] =
            [by_load, by_cost].map(|cfg| late_share(cfg, case.utilisation, seed));
        assert!(
            by_cost_late < by_load_late * case.max_ratio,
            "{case:?}, seed {seed}: {by_cost_late} of {by_load_late}"
        );
    }
}
