//! What happens when, drawn from a seed before the run.

use std::fmt;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use sassafrasspool_bench::load::DOMAINS;

#[cfg(test)]
mod tests;

/// The shortest time between two faults, in milliseconds.
const LEAST_GAP_MS: u64 = 50;

/// The longest time between two faults, in milliseconds.
const MOST_GAP_MS: u64 = 500;

/// Time before the first fault, in which callers open their connections.
const LEAD: Duration = Duration::from_millis(500);

/// How many faults come one right after the other when they come in series.
const SERIES_LENGTH: u32 = 4;

/// One fault in so many begins a series.
const SERIES_EVERY: u32 = 12;

/// The mean time between two silences of the platform.
const SILENCE_EVERY: Duration = Duration::from_secs(12);

/// What silences are drawn from, beside the seed. With a source of their own they leave
/// the other faults of a seed as they are: seeds that ever failed are played again.
const SILENCES: u64 = 0x5113_7ce5;

/// The mean time between two evacuations.
const EVACUATION_EVERY: Duration = Duration::from_secs(6);

/// What evacuations are drawn from, beside the seed, as silences are.
const EVACUATIONS: u64 = 0x0e7a_c0a7;

/// What is done to a node's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodeFault {
    /// A planned stop, and a start afterwards.
    Stop,
    /// A kill, and a start afterwards.
    Kill,
    /// It stands still and goes on later, believing what it did.
    Freeze,
    /// Its settings change, with a signal that says so.
    ReloadBySignal,
    /// Its settings change without a signal.
    ReloadByFile,
}

/// What is done to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetFault {
    /// It drops all connections and starts again, cold.
    Crash,
    /// It stands still.
    Freeze,
    /// It refuses new work by itself.
    Drain,
    /// Each request takes longer.
    Slow,
    /// It does the work and never answers.
    Hang,
    /// It breaks off in the middle of each answer.
    CutAnswers,
    /// Some of its answers come late, though the work was done in time.
    Late,
    /// It calls itself ill though it is well.
    LyingHealth,
    /// The list says that it leaves; another start takes its address.
    Replace,
}

/// Between whom a link lies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// From other nodes to a node's requests.
    PeerTraffic,
    /// From other nodes to a node's control messages.
    PeerControl,
    /// From a node to the platform.
    Platform,
    /// From a node to its target.
    Target,
    /// From callers to a node.
    Callers,
}

/// What is done to a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkFault {
    /// Bytes take longer.
    Delay,
    /// Open connections are reset.
    Reset,
    /// Bytes wait in both directions.
    Cut,
    /// Bytes wait on the way there.
    CutForth,
    /// Bytes wait on the way back.
    CutBack,
    /// Open connections carry nothing more.
    Silence,
}

/// What is done to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlatformFault {
    /// It answers no read.
    Outage,
    /// It serves what it had.
    Stale,
    /// Lists are seen late.
    ListLag,
    /// Its answers are held back and cross newer ones.
    SlowAnswers,
    /// It stands still.
    Freeze,
    /// It takes reads and never answers them, also when it is back.
    Silence,
}

/// One fault. Those with a length end by themselves after it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Of a node.
    Node(usize, NodeFault),
    /// Of half of all nodes at once, which are killed and come back.
    Herd,
    /// Of a target.
    Target(usize, TargetFault),
    /// Of a link of an instance.
    Link(usize, Way, LinkFault),
    /// Of the platform.
    Platform(PlatformFault),
    /// A catalogue is published, one that binds or one that doesn't.
    Publish(bool),
    /// A failure domain is evacuated, by its number, and taken back.
    Evacuate(usize),
}

/// A fault, when it comes and how long it lasts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step {
    /// After the start of the run.
    pub at: Duration,
    /// How long it lasts.
    pub length: Duration,
    /// What comes.
    pub fault: Fault,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [at, length] = [self.at, self.length].map(|span| span.as_millis());
        write!(f, "{at} {:?} for {length}", self.fault)
    }
}

/// The faults of a run in order. They come alone, in series and overlapping.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Schedule {
    /// The steps, sorted by time.
    pub steps: Vec<Step>,
}

impl Schedule {
    /// Draws faults for a fleet of `instances` over `length`.
    pub fn draw(instances: usize, length: Duration, seed: u64) -> Schedule {
        let mut drawn = Drawn {
            rng: SmallRng::seed_from_u64(seed),
            instances,
        };
        let mut steps = Vec::new();
        let mut at = LEAD;
        while at < length {
            let step = drawn.step(at);
            steps.push(step);
            if drawn.one_in(SERIES_EVERY) {
                for _ in 1..SERIES_LENGTH {
                    at += drawn.millis(LEAST_GAP_MS, 2 * LEAST_GAP_MS);
                    steps.push(Step { at, ..step });
                }
            }
            at += drawn.millis(LEAST_GAP_MS, MOST_GAP_MS);
        }
        steps.extend(silences(length, seed));
        steps.extend(evacuations(length, seed));
        steps.sort_by_key(|step| step.at);
        Schedule { steps }
    }
}

/// Silences of the platform, each shorter than the pause before the next one.
fn silences(length: Duration, seed: u64) -> Vec<Step> {
    let silence = Recurrence {
        every: SILENCE_EVERY,
        lengths_ms: [200, 4_000],
        pauses_percent: [50, 150],
    };
    silence.draw(length, seed ^ SILENCES, |_| {
        Fault::Platform(PlatformFault::Silence)
    })
}

/// Evacuations, of which two may overlap.
fn evacuations(length: Duration, seed: u64) -> Vec<Step> {
    let evacuation = Recurrence {
        every: EVACUATION_EVERY,
        lengths_ms: [300, 5_000],
        pauses_percent: [25, 175],
    };
    evacuation.draw(length, seed ^ EVACUATIONS, |rng| {
        Fault::Evacuate(rng.random_range(0..DOMAINS.len()))
    })
}

/// How often a fault comes that is drawn from a source of its own.
#[derive(Debug)]
struct Recurrence {
    /// The mean time from one to the next.
    every: Duration,
    /// The shortest and the longest that one lasts, in milliseconds.
    lengths_ms: [u64; 2],
    /// The shortest and the longest time from one to the next, in percent of the mean.
    pauses_percent: [u64; 2],
}

impl Recurrence {
    /// Draws such faults over `length`.
    fn draw(
        &self,
        length: Duration,
        seed: u64,
        fault: impl Fn(&mut SmallRng) -> Fault,
    ) -> Vec<Step> {
        let mut drawn = Drawn {
            rng: SmallRng::seed_from_u64(seed),
            instances: 0,
        };
        let mean_ms = u64::try_from(self.every.as_millis()).unwrap_or(u64::MAX);
        let [least_ms, most_ms] = self.pauses_percent.map(|percent| mean_ms * percent / 100);
        let mut steps = Vec::new();
        let mut at = LEAD + drawn.millis(0, mean_ms);
        while at < length {
            steps.push(Step {
                at,
                length: drawn.millis(self.lengths_ms[0], self.lengths_ms[1]),
                fault: fault(&mut drawn.rng),
            });
            at += drawn.millis(least_ms, most_ms);
        }
        steps
    }
}

/// Draws one step after the other.
#[derive(Debug)]
struct Drawn {
    rng: SmallRng,
    instances: usize,
}

impl Drawn {
    fn step(&mut self, at: Duration) -> Step {
        let fault = self.fault();
        let length = match fault {
            Fault::Node(_, NodeFault::Freeze) => self.millis(50, 2_000),
            Fault::Platform(_) => self.millis(200, 3_000),
            Fault::Link(_, _, LinkFault::Delay) => self.millis(200, 3_000),
            _ => self.millis(50, 1_200),
        };
        Step { at, length, fault }
    }

    fn fault(&mut self) -> Fault {
        let n = self.rng.random_range(0..self.instances);
        match self.rng.random_range(0..20) {
            0..5 => Fault::Node(n, self.node_fault()),
            5 => Fault::Herd,
            6..10 => Fault::Target(n, self.target_fault()),
            10..15 => Fault::Link(n, self.way(), self.link_fault()),
            15..18 => Fault::Platform(self.platform_fault()),
            18 => Fault::Publish(self.one_in(2)),
            _ => Fault::Publish(true),
        }
    }

    fn node_fault(&mut self) -> NodeFault {
        self.one_of(&[
            NodeFault::Stop,
            NodeFault::Kill,
            NodeFault::Freeze,
            NodeFault::ReloadBySignal,
            NodeFault::ReloadByFile,
        ])
    }

    fn target_fault(&mut self) -> TargetFault {
        self.one_of(&[
            TargetFault::Crash,
            TargetFault::Freeze,
            TargetFault::Drain,
            TargetFault::Slow,
            TargetFault::Hang,
            TargetFault::CutAnswers,
            TargetFault::Late,
            TargetFault::LyingHealth,
            TargetFault::Replace,
        ])
    }

    fn way(&mut self) -> Way {
        self.one_of(&[
            Way::PeerTraffic,
            Way::PeerControl,
            Way::Platform,
            Way::Target,
            Way::Callers,
        ])
    }

    fn link_fault(&mut self) -> LinkFault {
        self.one_of(&[
            LinkFault::Delay,
            LinkFault::Reset,
            LinkFault::Cut,
            LinkFault::CutForth,
            LinkFault::CutBack,
            LinkFault::Silence,
        ])
    }

    fn platform_fault(&mut self) -> PlatformFault {
        self.one_of(&[
            PlatformFault::Outage,
            PlatformFault::Stale,
            PlatformFault::ListLag,
            PlatformFault::SlowAnswers,
            PlatformFault::Freeze,
        ])
    }

    fn one_of<T: Copy>(&mut self, all: &[T]) -> T {
        all[self.rng.random_range(0..all.len())]
    }

    fn one_in(&mut self, many: u32) -> bool {
        self.rng.random_range(0..many) == 0
    }

    fn millis(&mut self, least: u64, most: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(least..=most))
    }
}
