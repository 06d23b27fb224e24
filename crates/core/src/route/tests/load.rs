//! A load played on the targets of a service in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

use super::bench::Bench;
use super::bench::NOW;
use super::bench::near;
use crate::KindName;
use crate::LoadReport;
use crate::Picked;
use crate::RouteSettings;
use crate::Tick;
use crate::Verdict;

/// Nodes that send requests, each of which knows what its own answers told it.
const NODES: usize = 12;

/// How fast targets are beside the mean.
const SPEEDS: [f64; 12] = [0.7, 0.7, 1.6, 0.7, 0.7, 1.6, 0.7, 0.7, 1.6, 0.7, 0.7, 1.6];

/// Slots of each target, as the bench lists them.
const SLOTS: usize = 10;

/// What a request takes on average at a target of mean speed, in seconds.
const MEAN_S: f64 = 0.36;

/// The standard deviation of what a request takes, as a part of its mean.
const SPREAD: f64 = 0.8;

/// Within what an answer is worth most.
const AIM: Duration = Duration::from_secs(1);

/// Requests that are played; the first part finds nodes that know nothing.
const REQUESTS: usize = 20_000;

const LEARNING: usize = REQUESTS / 4;

/// A request that a target runs or queues.
#[derive(Debug)]
struct Sent {
    target: usize,
    arrived: Tick,
    picked: Picked,
}

/// Nodes with their targets.
struct Play {
    nodes: Vec<Bench>,
    /// When each slot of each target has done all that it was given.
    free_at: Vec<[Tick; SLOTS]>,
    outstanding: [usize; SPEEDS.len()],
    sent: Vec<Option<Sent>>,
    ends: BinaryHeap<Reverse<(Tick, usize)>>,
    kind: KindName,
    rng: SmallRng,
}

impl Play {
    fn new(cfg: RouteSettings, seed: u64) -> Play {
        let ids: Vec<String> = (0..SPEEDS.len()).map(|n| format!("ad-{n}")).collect();
        let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
        let node = |n: usize| Bench::with(&format!("caller-{n}"), near(&ids), cfg);
        Play {
            nodes: (0..NODES).map(node).collect(),
            free_at: vec![[NOW; SLOTS]; SPEEDS.len()],
            outstanding: [0; SPEEDS.len()],
            sent: Vec::new(),
            ends: BinaryHeap::new(),
            kind: KindName::new("file-review").unwrap(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// A time of that mean, exponentially distributed.
    fn gap(&mut self, mean_s: f64) -> Duration {
        let drawn: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        Duration::from_secs_f64(-drawn.ln() * mean_s)
    }

    /// What a request takes at a target of mean speed, log-normally distributed.
    fn work_s(&mut self) -> f64 {
        let variance = (1.0 + SPREAD * SPREAD).ln();
        let [a, b] = [(); 2].map(|()| self.rng.random_range(f64::MIN_POSITIVE..1.0));
        let normal = (-2.0 * f64::ln(a)).sqrt() * (std::f64::consts::TAU * b).cos();
        MEAN_S * (normal * variance.sqrt() - variance / 2.0).exp()
    }

    /// Sends a request by a node of its own choice.
    fn arrive(&mut self, now: Tick) {
        let node = self.rng.random_range(0..NODES);
        let picked = self.nodes[node].pick(now);
        let id = self.nodes[node].id(picked.endpoint()).as_str();
        let target: usize = id.strip_prefix("ad-").unwrap().parse().unwrap();
        let took = Duration::from_secs_f64(self.work_s() / SPEEDS[target]);
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

    /// Answers what has ended by `now`; gives how many of those that count are late.
    fn answer(&mut self, now: Tick) -> usize {
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
            sent.picked.report(at, load);
            sent.picked.timed(&self.kind, took);
            sent.picked.finish(at, Verdict::Answered(took));
            late += usize::from(n >= LEARNING && took > AIM);
        }
        late
    }
}

/// The share of callers that get their answers late, in parts of the targets' capacity.
fn late_share(cfg: RouteSettings, utilisation: f64, seed: u64) -> f64 {
    let mut play = Play::new(cfg, seed);
    let capacity: f64 = SPEEDS.iter().sum::<f64>() * SLOTS as f64 / MEAN_S;
    let mut now = NOW;
    let mut late = 0;
    for _ in 0..REQUESTS {
        now = now + play.gap(1.0 / (capacity * utilisation));
        late += play.answer(now);
        play.arrive(now);
    }
    late += play.answer(now + Duration::from_secs(600));
    late as f64 / (REQUESTS - LEARNING) as f64
}

/// How much of the targets' capacity is asked for, and the part of late answers that is
/// left of what the less loaded of two gives.
#[derive(Debug)]
struct Case {
    utilisation: f64,
    left: f64,
}

/// Guards against long requests that run late at slow targets while faster ones have slots
/// to spare, and against a crowd at the faster ones.
#[rstest]
#[case(Case { utilisation: 0.3, left: 0.8 })]
#[case(Case { utilisation: 0.6, left: 0.9 })]
#[case(Case { utilisation: 0.85, left: 1.0 })]
fn fewer_callers_get_late_answers_than_by_load_alone(#[case] case: Case) {
    let now = RouteSettings::default();
    let by_load = RouteSettings {
        choices: 2,
        idle_percent: 0,
        ..now
    };
    for seed in 0..5 {
        let [held, least] = [by_load, now].map(|cfg| late_share(cfg, case.utilisation, seed));
        assert!(
            least < held * case.left,
            "{case:?}, seed {seed}: {least} of {held}"
        );
    }
}
