//! Schedule of faults, drawn from a seed before the run.

use std::fmt;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::fault::Fault;
use super::fault::is_in_herd;

/// The shortest time between two draws of a fault, in milliseconds.
const MIN_GAP_MS: u64 = 100;

/// The longest time between two draws of a fault, in milliseconds.
const MAX_GAP_MS: u64 = 500;

/// Time before the first fault, in which every node has to become ready.
const LEAD_TIME: Duration = Duration::from_millis(500);

/// How long an instance gets no new fault after one, so that a restarted node
/// serves calls within the run.
const RECOVERY_TIME: Duration = Duration::from_millis(1_000);

/// Number of equally likely outcomes of a draw; some faults have two.
const DRAW_OUTCOMES: usize = 20;

/// A fault and the time at which it is injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step {
    /// Time since the start of the run.
    pub at: Duration,
    /// The fault.
    pub fault: Fault,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {:?}", self.at.as_millis(), self.fault)
    }
}

/// The schedule of faults of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Script {
    /// The steps, sorted by time.
    pub steps: Vec<Step>,
}

impl Script {
    /// Draws faults for a fleet of `instances` over `length`.
    ///
    /// An instance has one fault at a time. Faults of single instances affect
    /// at most half of all instances at once, and [`Fault::KillHerd`] is only
    /// scheduled while no instance has a fault, so that some instances can
    /// always answer.
    pub fn draw(instances: usize, length: Duration, seed: u64) -> Script {
        let mut builder = ScriptBuilder {
            rng: SmallRng::seed_from_u64(seed),
            faulty_until: vec![Duration::ZERO; instances],
            platform_faulty_until: Duration::ZERO,
            steps: Vec::new(),
        };
        let mut at = LEAD_TIME;
        while at < length {
            builder.draw_step(at);
            at += builder.millis(MIN_GAP_MS, MAX_GAP_MS);
        }
        Script {
            steps: builder.steps,
        }
    }
}

#[derive(Debug)]
struct ScriptBuilder {
    rng: SmallRng,
    faulty_until: Vec<Duration>,
    platform_faulty_until: Duration,
    steps: Vec<Step>,
}

impl ScriptBuilder {
    fn draw_step(&mut self, at: Duration) {
        let fault = self.draw_fault();
        let until = at + fault.length() + RECOVERY_TIME;
        if fault.is_platform_fault() {
            if at < self.platform_faulty_until {
                return;
            }
            self.platform_faulty_until = at + fault.length();
        }
        if let Some(instance) = fault.instance() {
            let faulty = self
                .faulty_until
                .iter()
                .filter(|until| at < **until)
                .count();
            if at < self.faulty_until[instance] || (faulty + 1) * 2 > self.faulty_until.len() {
                return;
            }
            self.faulty_until[instance] = until;
        }
        if matches!(fault, Fault::KillHerd { .. }) {
            if self.faulty_until.iter().any(|until| at < *until) {
                return;
            }
            let killed = self.faulty_until.iter_mut().enumerate();
            for (_, faulty_until) in killed.filter(|(instance, _)| is_in_herd(*instance)) {
                *faulty_until = until;
            }
        }
        self.steps.push(Step { at, fault });
    }

    fn draw_fault(&mut self) -> Fault {
        let instance = self.rng.random_range(0..self.faulty_until.len());
        match self.rng.random_range(0..DRAW_OUTCOMES) {
            0 | 1 => Fault::Stop {
                instance,
                down: self.millis(200, 1_500),
            },
            2 | 3 => Fault::Kill {
                instance,
                down: self.millis(50, 1_500),
            },
            4 => Fault::KillHerd {
                down: self.millis(100, 800),
            },
            5 | 6 => Fault::Pause {
                instance,
                length: self.millis(100, 2_300),
            },
            7 => Fault::CrashTarget {
                instance,
                down: self.millis(50, 1_000),
            },
            8 => Fault::DrainTarget {
                instance,
                length: self.millis(200, 1_500),
            },
            9 => Fault::SlowTarget {
                instance,
                extra: self.millis(20, 500),
                length: self.millis(500, 2_000),
            },
            10 => Fault::LateAnswers {
                instance,
                by: self.millis(200, 2_500),
                length: self.millis(300, 2_000),
            },
            11 => Fault::LyingHealth {
                instance,
                length: self.millis(500, 3_000),
            },
            12 | 13 => self.draw_platform_fault(),
            14 => Fault::PublishBad,
            15 => Fault::Isolate {
                instance,
                length: self.millis(100, 2_300),
            },
            16 => Fault::CutAnswers {
                instance,
                length: self.millis(100, 1_000),
            },
            17 => Fault::Hang {
                instance,
                length: self.millis(100, 1_000),
            },
            18 => Fault::Crash {
                instance,
                down: self.millis(100, 1_500),
            },
            _ => Fault::PublishGood,
        }
    }

    fn draw_platform_fault(&mut self) -> Fault {
        let length = self.millis(300, 3_000);
        match self.rng.random_range(0..5) {
            0 => Fault::Outage { length },
            1 => Fault::Stale { length },
            2 => Fault::StepBack { length },
            3 => Fault::ListLag {
                lag: self.millis(200, 3_000),
                length,
            },
            _ => Fault::SlowPlatform {
                delay: self.millis(20, 500),
                length,
            },
        }
    }

    fn millis(&mut self, min: u64, max: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(min..=max))
    }
}
