//! All targets of a service that return cold, under the load of warm ones.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

use crate::Admission;
use crate::AdmissionSettings;
use crate::Ask;
use crate::Class;
use crate::ColdTolerance;
use crate::Deadline;
use crate::KindName;
use crate::Offer;
use crate::Permit;
use crate::Refusal;
use crate::Tick;
use crate::testing::LIMITS;

const TARGETS: usize = 20;
const SLOTS: u32 = 6;
/// Two thirds of what warm targets bear.
const PER_S: f64 = 760.0;
/// How long a request takes in a warm target.
const TOOK: Duration = Duration::from_millis(105);
/// How much longer it takes in a cold one.
const COLD_TIMES: u32 = 2;
/// How long targets stay cold, and how many requests a second they bear then.
const COLD: Duration = Duration::from_secs(3);
const BEARS: u32 = 10;
/// What they tolerate within a second; with more, they crash.
const TOLERANCE: ColdTolerance = ColdTolerance {
    over_percent: 150,
    slack: 8,
};
const TOLERATED: usize = 23;
/// How long a crashed target is away.
const AWAY: Duration = Duration::from_secs(1);
/// Nodes that a request asks for room at most.
const ASKS: usize = 3;
const SECS: usize = 20;

type Verdict = Result<Permit, Refusal>;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrives,
    Refill(usize),
    Ends(usize),
}

/// A target with its admission.
struct Target {
    admission: Admission,
    /// When its process started, or will.
    started: Tick,
    begun: VecDeque<Tick>,
    crashes: u32,
}

/// A request that runs in a target.
struct Run {
    target: usize,
    permit: Permit,
    /// The start of the target that it runs in.
    started: Tick,
}

struct Play {
    targets: Vec<Target>,
    runs: Vec<Option<Run>>,
    events: BinaryHeap<Reverse<(Tick, Event)>>,
    told: Arc<Mutex<Vec<(usize, Verdict)>>>,
    /// Waits that are kept until they are told.
    waits: Vec<crate::Queued>,
    served: [u32; SECS],
    rng: SmallRng,
}

/// What callers got in each second, and how often targets crashed.
#[derive(Debug)]
struct Got {
    served: [u32; SECS],
    crashes: u32,
}

/// Plays the return of all targets at once, the limit on cold ones in force or not.
fn play(seed: u64, limited: bool) -> Got {
    let target = |_| Target {
        admission: Admission::new(AdmissionSettings::default(), SLOTS).unwrap(),
        started: Tick::ZERO,
        begun: VecDeque::new(),
        crashes: 0,
    };
    let mut play = Play {
        targets: (0..TARGETS).map(target).collect(),
        runs: Vec::new(),
        events: BinaryHeap::new(),
        told: Arc::default(),
        waits: Vec::new(),
        served: [0; SECS],
        rng: SmallRng::seed_from_u64(seed),
    };
    let end = Tick::ZERO + Duration::from_secs(SECS as u64);
    play.events.push(Reverse((Tick::ZERO, Event::Arrives)));
    while let Some(Reverse((now, event))) = play.events.pop() {
        if now >= end {
            break;
        }
        match event {
            Event::Arrives => play.arrives(now, limited),
            Event::Refill(target) => play.refill(now, target),
            Event::Ends(run) => play.ends(now, run),
        }
        play.begin_admitted(now);
    }
    Got {
        served: play.served,
        crashes: play.targets.iter().map(|target| target.crashes).sum(),
    }
}

impl Play {
    fn arrives(&mut self, now: Tick, limited: bool) {
        let draw: f64 = self.rng.random_range(f64::EPSILON..1.0);
        let pause = Duration::from_secs_f64(-draw.ln() / PER_S);
        self.events.push(Reverse((now + pause, Event::Arrives)));
        let first = self.rng.random_range(0..TARGETS);
        for ask in 0..ASKS {
            let target = (first + ask * 7) % TARGETS;
            if self.offer(now, target, limited, ask + 1 == ASKS) {
                return;
            }
        }
    }

    /// Asks a target's node for room; tells whether there is some.
    fn offer(&mut self, now: Tick, target: usize, limited: bool, settles: bool) -> bool {
        let held = &self.targets[target];
        if now < held.started {
            return false;
        }
        let until = held.started + COLD;
        let limit = TOLERANCE.limit(BEARS, until);
        let name = KindName::new("lookup").unwrap();
        let ask = Ask {
            class: Class::Standard,
            deadline: Deadline::within(now, Duration::from_millis(2_500)),
            limits: &LIMITS,
            kind: Some(&name),
            aim: Some(now + Duration::from_millis(400)),
            settles,
            slots: None,
            cold: (limited && now < until).then_some(limit),
        };
        let told = Arc::clone(&self.told);
        let waker = move || -> crate::Waker {
            Box::new(move |verdict| told.lock().unwrap().push((target, verdict)))
        };
        match held.admission.offer(now, &ask, waker) {
            Offer::Admitted(permit) => self.told.lock().unwrap().push((target, Ok(permit))),
            Offer::Refused(_) => return false,
            Offer::Queued(queued) => {
                self.waits.push(queued);
                self.refill(now, target);
            }
        }
        true
    }

    fn refill(&mut self, now: Tick, target: usize) {
        if let Some(next) = self.targets[target].admission.refill(now) {
            self.events.push(Reverse((next, Event::Refill(target))));
        }
    }

    fn begin_admitted(&mut self, now: Tick) {
        loop {
            let told = std::mem::take(&mut *self.told.lock().unwrap());
            if told.is_empty() {
                return;
            }
            for (target, verdict) in told {
                if let Ok(permit) = verdict {
                    self.begin(now, target, permit);
                }
            }
        }
    }

    fn begin(&mut self, now: Tick, target: usize, permit: Permit) {
        let held = &mut self.targets[target];
        let second = Duration::from_secs(1);
        while held
            .begun
            .front()
            .is_some_and(|at| now.since(*at) >= second)
        {
            held.begun.pop_front();
        }
        held.begun.push_back(now);
        let cold = now.since(held.started) < COLD;
        if cold && now >= held.started && held.begun.len() > TOLERATED {
            held.crashes += 1;
            held.started = now + AWAY;
            held.begun.clear();
        }
        let times = if cold { COLD_TIMES } else { 1 };
        let took = TOOK * times;
        let started = held.started;
        let took = took.mul_f64(self.rng.random_range(0.7..1.3));
        let id = self.runs.len();
        self.runs.push(Some(Run {
            target,
            permit,
            started,
        }));
        self.events.push(Reverse((now + took, Event::Ends(id))));
    }

    fn ends(&mut self, now: Tick, run: usize) {
        let run = self.runs[run].take().expect("it ran");
        run.permit.release(now);
        let held = &self.targets[run.target];
        // A run that a crash ended has no answer.
        if run.started == held.started && now >= held.started {
            let second = now.as_micros() / 1_000_000;
            self.served[second as usize] += 1;
        }
    }
}

/// Guards against targets that return cold, crash under the load of warm ones and return
/// cold again: all of a service return at once, and a load that they bear warm goes on.
#[rstest]
fn targets_that_return_cold_warm_up_under_full_load(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let got = play(seed, true);
    assert_eq!(got.crashes, 0);
    // While they are cold, all that they bear is given out and most of what they tolerate.
    let bears = BEARS * TARGETS as u32 * 13 / 10;
    assert!(got.served[1..3].iter().all(|n| *n >= bears), "{got:?}");
    // From a second after the cold time on, callers are served as if nothing had been.
    let warm = &got.served[4..];
    assert!(
        warm.iter().all(|n| f64::from(*n) >= PER_S * 0.85),
        "{got:?}"
    );
}

/// Shows that the load of the play is one that makes unlimited targets crash again and
/// again; the test above would prove nothing without.
#[test]
fn without_a_limit_the_same_targets_crash_again_and_again() {
    let got = play(1, false);
    assert!(got.crashes > 3 * TARGETS as u32, "{got:?}");
}
