//! Faults that can be injected into a fleet.

use std::time::Duration;

/// One fault. A fault with a length ends after it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A planned stop of a node and a later start. The platform lists the
    /// instance as leaving, and as live again.
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
    /// Half of each service's nodes are killed at once and restarted at once.
    KillHerd {
        /// From the kills until the starts.
        down: Duration,
    },
    /// A node's process is suspended and resumed later with its old state.
    Pause {
        /// Which instance.
        instance: usize,
        /// How long.
        length: Duration,
    },
    /// A target drops all its connections and restarts cold.
    CrashTarget {
        /// Which instance.
        instance: usize,
        /// From the crash until the start.
        down: Duration,
    },
    /// The target and the node of an instance crash and restart.
    Crash {
        /// Which instance.
        instance: usize,
        /// From the crash until the start.
        down: Duration,
    },
    /// Requests of other nodes to a node and its answers are delayed.
    Isolate {
        /// Which instance.
        instance: usize,
        /// How long.
        length: Duration,
    },
    /// A target drains on its own and refuses new requests.
    DrainTarget {
        /// Which instance.
        instance: usize,
        /// How long.
        length: Duration,
    },
    /// A target takes longer to run each request.
    SlowTarget {
        /// Which instance.
        instance: usize,
        /// Added service time.
        extra: Duration,
        /// For how long.
        length: Duration,
    },
    /// A target runs requests in the usual time, but delays some answers.
    LateAnswers {
        /// Which instance.
        instance: usize,
        /// Delay of these answers.
        by: Duration,
        /// For how long.
        length: Duration,
    },
    /// A target closes the connection in the middle of each answer.
    CutAnswers {
        /// Which instance.
        instance: usize,
        /// How long.
        length: Duration,
    },
    /// A target runs requests and never answers them.
    Hang {
        /// Which instance.
        instance: usize,
        /// How long.
        length: Duration,
    },
    /// A target reports itself as unhealthy although it is healthy.
    LyingHealth {
        /// Which instance.
        instance: usize,
        /// How long.
        length: Duration,
    },
    /// The platform answers no reads.
    Outage {
        /// How long.
        length: Duration,
    },
    /// The platform serves its versions of before the fault; new ones are not
    /// visible.
    Stale {
        /// How long.
        length: Duration,
    },
    /// The platform serves an older catalogue than before.
    StepBack {
        /// How long.
        length: Duration,
    },
    /// New instance lists become visible late.
    ListLag {
        /// Delay of the lists.
        lag: Duration,
        /// For how long.
        length: Duration,
    },
    /// The platform's answers are delayed and may arrive after newer ones.
    SlowPlatform {
        /// Delay of the answers.
        delay: Duration,
        /// For how long.
        length: Duration,
    },
    /// The operators publish a valid catalogue.
    PublishGood,
    /// The operators publish a catalogue with a route to a missing service.
    PublishBad,
}

impl Fault {
    /// The instance that it affects, if it is a single one.
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

    /// How long it lasts, as far as that is planned; the drain of a stop adds
    /// to it.
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

    /// Whether it is a fault of what the platform serves. Only one of these
    /// can be active at a time.
    pub fn is_platform_fault(&self) -> bool {
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

/// Whether [`Fault::KillHerd`] kills the node of `instance`. Every other pair
/// of instances is killed; as the two services alternate, that is half of each
/// service's nodes.
pub(super) fn is_in_herd(instance: usize) -> bool {
    (instance / 2).is_multiple_of(2)
}
