//! How long the stages of requests take.

use std::fmt;
use std::time::Duration;

use metrics::Histogram;
use metrics::histogram;
use sassafrasspool_core::Class;

use crate::metrics::traffic;

/// One stage's times by class; made once, since looking a histogram up by its
/// name costs more than counting.
pub(super) struct Stage([Histogram; Class::ALL.len()]);

/// The stages that are timed.
#[derive(Debug)]
pub(super) struct Stages {
    /// From a request's arrival at its first node to the head of its answer.
    pub(super) whole: Stage,
    /// Waiting for a slot beside the target.
    pub(super) queue: Stage,
    /// From the hand-over to the target to the head of its answer.
    pub(super) target: Stage,
}

impl Stages {
    pub(super) fn new() -> Stages {
        Stages {
            whole: Stage::new(traffic::WHOLE),
            queue: Stage::new(traffic::QUEUE),
            target: Stage::new(traffic::TARGET),
        }
    }
}

impl Stage {
    fn new(name: &'static str) -> Stage {
        Stage(Class::ALL.map(|class| histogram!(name, "class" => class.as_str())))
    }

    /// Takes in how long a request of that class took.
    pub(super) fn took(&self, class: Class, time: Duration) {
        self.0[class.index()].record(time.as_secs_f64());
    }
}

impl fmt::Debug for Stage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Stage")
    }
}
