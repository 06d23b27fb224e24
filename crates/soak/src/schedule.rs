//! The faults of a run and their times, drawn from a seed before the run.

use std::fmt;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use sassafrasspool_bench::load::DOMAINS;

use crate::verdict::Statement;

#[cfg(test)]
mod tests;

/// The shortest time between two faults, in milliseconds.
const MIN_GAP_MS: u64 = 50;

/// The longest time between two faults, in milliseconds.
const MAX_GAP_MS: u64 = 500;

/// The time before the first fault, in which callers open their connections.
const LEAD_TIME: Duration = Duration::from_millis(500);

/// The number of faults in a series, in which one follows the other after a short gap.
const SERIES_LENGTH: u32 = 4;

/// One fault in this many begins a series.
const ONE_SERIES_IN: u32 = 12;

/// The mean time between two silences of the platform.
const MEAN_SILENCE_INTERVAL: Duration = Duration::from_secs(12);

/// Combined with the seed of the run to draw silences. With a generator of their own they
/// don't change the other faults of a seed, so that seeds that once failed still repeat them.
const SILENCE_SEED: u64 = 0x5113_7ce5;

/// The mean time between two returns of the platform from an older copy.
const MEAN_RESTORE_INTERVAL: Duration = Duration::from_secs(10);

/// Combined with the seed of the run to draw returns from a copy, for the same reason as for
/// silences.
const RESTORE_SEED: u64 = 0x4e57_0a5d;

/// The mean time between two evacuations.
const MEAN_EVACUATION_INTERVAL: Duration = Duration::from_secs(6);

/// Combined with the seed of the run to draw evacuations, for the same reason as for
/// silences.
const EVACUATION_SEED: u64 = 0x0e7a_c0a7;

/// The mean time between two targets that state something about themselves.
const MEAN_STATEMENT_INTERVAL: Duration = Duration::from_secs(3);

/// Combined with the seed of the run to draw statements, for the same reason as for silences.
const STATEMENT_SEED: u64 = 0x57a7_e3e7;

/// The mean time between two targets whose answers are malformed.
const MEAN_MALFORMED_INTERVAL: Duration = Duration::from_secs(3);

/// Combined with the seed of the run to draw malformed answers, for the same reason as for
/// silences.
const MALFORMED_SEED: u64 = 0x0bad_4ead;

/// A fault of a node process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodeFault {
    /// A planned stop, and a later start.
    Stop,
    /// A kill, and a later start.
    Kill,
    /// The process is paused, and resumes later with its old state.
    Freeze,
    /// The settings file changes, and a signal requests the reload.
    ReloadBySignal,
    /// The settings file changes without a signal.
    ReloadByFile,
}

/// A fault of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetFault {
    /// It drops all connections and restarts cold.
    Crash,
    /// The process is paused.
    Freeze,
    /// It refuses new requests of its own accord.
    Drain,
    /// Each request takes longer.
    Slow,
    /// It runs each request and never answers.
    Hang,
    /// It cuts the connection in the middle of each answer.
    CutAnswers,
    /// The heads of its answers are malformed.
    MalformedAnswers,
    /// Some of its answers are late, though the requests ran in time.
    Late,
    /// It reports itself as unhealthy though it is healthy.
    LyingHealth,
    /// It is removed from the list; a new start takes its address and is listed again.
    Replace,
}

/// Which connections a link carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkRole {
    /// From other nodes to the address of a node for requests.
    PeerTraffic,
    /// From other nodes to the address of a node for control messages.
    PeerControl,
    /// From a node to the platform.
    Platform,
    /// From a node to its target.
    Target,
    /// From callers to a node.
    Callers,
}

/// A fault of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkFault {
    /// Bytes are delayed.
    Delay,
    /// Open connections are reset.
    Reset,
    /// Bytes are held in both directions.
    Cut,
    /// Bytes from the connecting side are held.
    CutForth,
    /// Bytes to the connecting side are held.
    CutBack,
    /// Open connections stay open and carry no more bytes.
    Silence,
}

/// A fault of the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlatformFault {
    /// It answers no read.
    Outage,
    /// It serves the versions from before the fault.
    Stale,
    /// Instance lists become visible late.
    ListLag,
    /// Its answers are delayed, and newer ones overtake them.
    SlowAnswers,
    /// The process is paused.
    Freeze,
    /// It accepts reads and never answers them, not even after the fault has ended.
    Silence,
    /// It answers no read, and then returns from an older copy of its data.
    Restore,
}

/// A fault and the part that it affects. A fault that lasts ends by itself after the length
/// of its step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A fault of the node of an instance.
    Node(usize, NodeFault),
    /// Half of all nodes are killed at once and started again later.
    Herd,
    /// A fault of the target of an instance.
    Target(usize, TargetFault),
    /// A fault of a link of an instance.
    Link(usize, LinkRole, LinkFault),
    /// A fault of the platform.
    Platform(PlatformFault),
    /// A catalogue is published: a valid one if true, an invalid one if false.
    Publish(bool),
    /// The failure domain with this index is evacuated, and the order withdrawn later.
    Evacuate(usize),
    /// The target of an instance states something about itself. One that states that it
    /// leaves is replaced at the end.
    State(usize, Statement),
}

/// A fault with its start and its length.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step {
    /// When it starts, after the start of the schedule.
    pub at: Duration,
    /// How long it lasts.
    pub length: Duration,
    /// The fault.
    pub fault: Fault,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [at, length] = [self.at, self.length].map(|span| span.as_millis());
        write!(f, "{at} {:?} for {length}", self.fault)
    }
}

/// The faults of a run, sorted by time. They come alone, in series and overlapping.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Schedule {
    /// The steps, sorted by time.
    pub steps: Vec<Step>,
}

impl Schedule {
    /// Draws faults for a fleet of `instances` over `length`.
    pub fn draw(instances: usize, length: Duration, seed: u64) -> Schedule {
        let mut generator = StepGenerator {
            rng: SmallRng::seed_from_u64(seed),
            instances,
        };
        let mut steps = Vec::new();
        let mut at = LEAD_TIME;
        while at < length {
            let step = generator.draw_step(at);
            steps.push(step);
            if generator.one_in(ONE_SERIES_IN) {
                for _ in 1..SERIES_LENGTH {
                    at += generator.random_millis(MIN_GAP_MS, 2 * MIN_GAP_MS);
                    steps.push(Step { at, ..step });
                }
            }
            at += generator.random_millis(MIN_GAP_MS, MAX_GAP_MS);
        }
        steps.extend(draw_silences(length, seed));
        steps.extend(draw_restores(length, seed));
        steps.extend(draw_evacuations(length, seed));
        steps.extend(draw_statements(instances, length, seed));
        steps.extend(draw_malformed_answers(instances, length, seed));
        steps.sort_by_key(|step| step.at);
        Schedule { steps }
    }
}

/// Silences of the platform. Each one ends before the next one starts.
fn draw_silences(length: Duration, seed: u64) -> Vec<Step> {
    let silence = Recurrence {
        mean_interval: MEAN_SILENCE_INTERVAL,
        lengths_ms: [200, 4_000],
        intervals_percent: [50, 150],
    };
    silence.draw(length, seed ^ SILENCE_SEED, |_| {
        Fault::Platform(PlatformFault::Silence)
    })
}

/// Returns of the platform from a copy. Two of them may follow each other at once.
fn draw_restores(length: Duration, seed: u64) -> Vec<Step> {
    let restore = Recurrence {
        mean_interval: MEAN_RESTORE_INTERVAL,
        lengths_ms: [200, 2_500],
        intervals_percent: [10, 190],
    };
    restore.draw(length, seed ^ RESTORE_SEED, |_| {
        Fault::Platform(PlatformFault::Restore)
    })
}

/// Evacuations. Two of them may overlap.
fn draw_evacuations(length: Duration, seed: u64) -> Vec<Step> {
    let evacuation = Recurrence {
        mean_interval: MEAN_EVACUATION_INTERVAL,
        lengths_ms: [300, 5_000],
        intervals_percent: [25, 175],
    };
    evacuation.draw(length, seed ^ EVACUATION_SEED, |rng| {
        Fault::Evacuate(rng.random_range(0..DOMAINS.len()))
    })
}

/// Statements of targets. Those of several targets may overlap.
fn draw_statements(instances: usize, length: Duration, seed: u64) -> Vec<Step> {
    let statement = Recurrence {
        mean_interval: MEAN_STATEMENT_INTERVAL,
        lengths_ms: [1_000, 8_000],
        intervals_percent: [25, 175],
    };
    statement.draw(length, seed ^ STATEMENT_SEED, |rng| {
        let n = rng.random_range(0..instances);
        let statement = match rng.random_bool(0.5) {
            true => Statement::RateLimit,
            false => Statement::Leaving,
        };
        Fault::State(n, statement)
    })
}

/// Times in which the answers of a target are malformed. Those of several targets may overlap.
fn draw_malformed_answers(instances: usize, length: Duration, seed: u64) -> Vec<Step> {
    let malformed = Recurrence {
        mean_interval: MEAN_MALFORMED_INTERVAL,
        lengths_ms: [50, 1_200],
        intervals_percent: [25, 175],
    };
    malformed.draw(length, seed ^ MALFORMED_SEED, |rng| {
        Fault::Target(
            rng.random_range(0..instances),
            TargetFault::MalformedAnswers,
        )
    })
}

/// The distribution of a recurring fault that is drawn from a generator of its own.
#[derive(Debug)]
struct Recurrence {
    /// The mean time from the start of one fault to the start of the next.
    mean_interval: Duration,
    /// The shortest and the longest length of a fault, in milliseconds.
    lengths_ms: [u64; 2],
    /// The shortest and the longest time from one fault to the next, in percent of the mean.
    intervals_percent: [u64; 2],
}

impl Recurrence {
    /// Draws the faults within `length`.
    fn draw(
        &self,
        length: Duration,
        seed: u64,
        draw_fault: impl Fn(&mut SmallRng) -> Fault,
    ) -> Vec<Step> {
        let mut generator = StepGenerator {
            rng: SmallRng::seed_from_u64(seed),
            instances: 0,
        };
        let mean_ms = u64::try_from(self.mean_interval.as_millis()).unwrap_or(u64::MAX);
        let [min_ms, max_ms] = self
            .intervals_percent
            .map(|percent| mean_ms * percent / 100);
        let mut steps = Vec::new();
        let mut at = LEAD_TIME + generator.random_millis(0, mean_ms);
        while at < length {
            steps.push(Step {
                at,
                length: generator.random_millis(self.lengths_ms[0], self.lengths_ms[1]),
                fault: draw_fault(&mut generator.rng),
            });
            at += generator.random_millis(min_ms, max_ms);
        }
        steps
    }
}

/// Draws steps from a seeded generator, one after another.
#[derive(Debug)]
struct StepGenerator {
    rng: SmallRng,
    instances: usize,
}

impl StepGenerator {
    fn draw_step(&mut self, at: Duration) -> Step {
        let fault = self.draw_fault();
        let length = match fault {
            Fault::Node(_, NodeFault::Freeze) => self.random_millis(50, 2_000),
            Fault::Platform(_) => self.random_millis(200, 3_000),
            Fault::Link(_, _, LinkFault::Delay) => self.random_millis(200, 3_000),
            _ => self.random_millis(50, 1_200),
        };
        Step { at, length, fault }
    }

    fn draw_fault(&mut self) -> Fault {
        let n = self.rng.random_range(0..self.instances);
        match self.rng.random_range(0..20) {
            0..5 => Fault::Node(n, self.draw_node_fault()),
            5 => Fault::Herd,
            6..10 => Fault::Target(n, self.draw_target_fault()),
            10..15 => Fault::Link(n, self.draw_link_role(), self.draw_link_fault()),
            15..18 => Fault::Platform(self.draw_platform_fault()),
            18 => Fault::Publish(self.one_in(2)),
            _ => Fault::Publish(true),
        }
    }

    fn draw_node_fault(&mut self) -> NodeFault {
        self.pick(&[
            NodeFault::Stop,
            NodeFault::Kill,
            NodeFault::Freeze,
            NodeFault::ReloadBySignal,
            NodeFault::ReloadByFile,
        ])
    }

    fn draw_target_fault(&mut self) -> TargetFault {
        self.pick(&[
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

    fn draw_link_role(&mut self) -> LinkRole {
        self.pick(&[
            LinkRole::PeerTraffic,
            LinkRole::PeerControl,
            LinkRole::Platform,
            LinkRole::Target,
            LinkRole::Callers,
        ])
    }

    fn draw_link_fault(&mut self) -> LinkFault {
        self.pick(&[
            LinkFault::Delay,
            LinkFault::Reset,
            LinkFault::Cut,
            LinkFault::CutForth,
            LinkFault::CutBack,
            LinkFault::Silence,
        ])
    }

    fn draw_platform_fault(&mut self) -> PlatformFault {
        self.pick(&[
            PlatformFault::Outage,
            PlatformFault::Stale,
            PlatformFault::ListLag,
            PlatformFault::SlowAnswers,
            PlatformFault::Freeze,
        ])
    }

    fn pick<T: Copy>(&mut self, all: &[T]) -> T {
        all[self.rng.random_range(0..all.len())]
    }

    fn one_in(&mut self, count: u32) -> bool {
        self.rng.random_range(0..count) == 0
    }

    fn random_millis(&mut self, min: u64, max: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(min..=max))
    }
}
