//! What can be done to a fleet in a run.

use std::time::Duration;

/// One fault. Those with a length end by themselves after it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A planned stop of a node and a start afterwards. The platform's list
    /// calls the instance leaving, and live again.
    Stop {
        /// Which instance.
        instance: usize,
        /// From the end of the stop until the start.
        down: Duration,
    },
    /// A node is killed and started again.
    Kill {
        /// Which instance.
        instance: usize,
        /// From the kill until the start.
        down: Duration,
    },
    /// Half of each service's nodes are killed at once, and all come back at
    /// once.
    KillHerd {
        /// From the kills until the starts.
        down: Duration,
    },
    /// A node stands still and goes on later, believing what it did.
    Pause {
        /// Which instance.
        instance: usize,
        /// How long.
        length: Duration,
    },
    /// A target drops all its connections and starts again, cold.
    CrashTarget {
        /// Which instance.
        instance: usize,
        /// From the crash until the start.
        down: Duration,
    },
    /// A whole instance dies, target and node, and starts again.
    Crash {
        /// Which instance.
        instance: usize,
        /// From the crash until the start.
        down: Duration,
    },
    /// What other nodes send to a node, and what it answers, is held and
    /// arrives late.
    Isolate {
        /// Which instance.
        instance: usize,
        /// How long.
        length: Duration,
    },
    /// A target refuses new work by itself.
    DrainTarget {
        /// Which instance.
        instance: usize,
        /// How long.
        length: Duration,
    },
    /// A target takes longer for each request.
    SlowTarget {
        /// Which instance.
        instance: usize,
        /// How much longer.
        extra: Duration,
        /// For how long.
        length: Duration,
    },
    /// A target does the work in time and answers some requests late.
    LateAnswers {
        /// Which instance.
        instance: usize,
        /// How late.
        by: Duration,
        /// For how long.
        length: Duration,
    },
    /// A target breaks off in the middle of each answer.
    CutAnswers {
        /// Which instance.
        instance: usize,
        /// How long.
        length: Duration,
    },
    /// A target does the work and never answers.
    Hang {
        /// Which instance.
        instance: usize,
        /// How long.
        length: Duration,
    },
    /// A target calls itself ill though it is well.
    LyingHealth {
        /// Which instance.
        instance: usize,
        /// How long.
        length: Duration,
    },
    /// The platform answers no read.
    Outage {
        /// How long.
        length: Duration,
    },
    /// The platform serves what it had, and publications go unseen.
    Stale {
        /// How long.
        length: Duration,
    },
    /// The platform serves an older catalogue than it did before.
    StepBack {
        /// How long.
        length: Duration,
    },
    /// Instance lists are seen late.
    ListLag {
        /// How late.
        lag: Duration,
        /// For how long.
        length: Duration,
    },
    /// The platform's answers are held back and cross newer ones.
    SlowPlatform {
        /// By how much.
        delay: Duration,
        /// For how long.
        length: Duration,
    },
    /// The operators publish a catalogue that binds.
    PublishGood,
    /// The operators publish a catalogue with a route to no service.
    PublishBad,
}

impl Fault {
    /// The instance that it hurts, if it is one.
    pub fn instance(&self) -> Option<usize> {
        match *self {
            Fault::Stop { instance, .. }
            | Fault::Kill { instance, .. }
            | Fault::Pause { instance, .. }
            | Fault::CrashTarget { instance, .. }
            | Fault::Crash { instance, .. }
            | Fault::Isolate { instance, .. }
            | Fault::DrainTarget { instance, .. }
            | Fault::SlowTarget { instance, .. }
            | Fault::LateAnswers { instance, .. }
            | Fault::CutAnswers { instance, .. }
            | Fault::Hang { instance, .. }
            | Fault::LyingHealth { instance, .. } => Some(instance),
            _ => None,
        }
    }

    /// How long it lasts, as far as that is planned.
    pub fn length(&self) -> Duration {
        match *self {
            Fault::Stop { down, .. } | Fault::Kill { down, .. } | Fault::KillHerd { down } => down,
            Fault::CrashTarget { down, .. } | Fault::Crash { down, .. } => down,
            Fault::Pause { length, .. }
            | Fault::Isolate { length, .. }
            | Fault::DrainTarget { length, .. }
            | Fault::SlowTarget { length, .. }
            | Fault::LateAnswers { length, .. }
            | Fault::CutAnswers { length, .. }
            | Fault::Hang { length, .. }
            | Fault::LyingHealth { length, .. }
            | Fault::Outage { length }
            | Fault::Stale { length }
            | Fault::StepBack { length }
            | Fault::ListLag { length, .. }
            | Fault::SlowPlatform { length, .. } => length,
            Fault::PublishGood | Fault::PublishBad => Duration::ZERO,
        }
    }

    /// Whether it is a fault of what the platform serves, of which one at a
    /// time can be switched on.
    pub fn is_of_platform(&self) -> bool {
        matches!(
            self,
            Fault::Outage { .. }
                | Fault::Stale { .. }
                | Fault::StepBack { .. }
                | Fault::ListLag { .. }
                | Fault::SlowPlatform { .. }
        )
    }
}

/// Whether an instance is hurt when a herd is. The services take turns, so
/// that pairs of instances do.
pub(super) fn in_herd(instance: usize) -> bool {
    (instance / 2).is_multiple_of(2)
}
