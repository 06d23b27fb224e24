//! Latency histograms of the stages of requests.

use std::fmt;
use std::time::Duration;

use metrics::Histogram;
use metrics::histogram;
use sassafrasspool_core::Class;

use crate::metrics::traffic;

/// The latencies of one stage by class. The histograms are created once, because the
/// lookup of a histogram by name costs more than recording a value.
pub(super) struct StageHistograms([Histogram; Class::ALL.len()]);

/// The stages that are timed.
#[derive(Debug)]
pub(super) struct StageLatencies {
    /// From a request's arrival at its first node to the head of its answer.
    pub(super) total: StageHistograms,
    /// The wait for a slot of the target.
    pub(super) queue: StageHistograms,
    /// From the hand-over to the target to the head of its answer.
    pub(super) target: StageHistograms,
}

impl StageLatencies {
    pub(super) fn new() -> StageLatencies {
        StageLatencies {
            total: StageHistograms::new(traffic::REQUEST_SECONDS),
            queue: StageHistograms::new(traffic::QUEUE_SECONDS),
            target: StageHistograms::new(traffic::TARGET_SECONDS),
        }
    }
}

impl StageHistograms {
    fn new(name: &'static str) -> StageHistograms {
        StageHistograms(Class::ALL.map(|class| histogram!(name, "class" => class.as_str())))
    }

    /// Records the latency of a request of that class.
    pub(super) fn record(&self, class: Class, latency: Duration) {
        self.0[class.index()].record(latency.as_secs_f64());
    }
}

impl fmt::Debug for StageHistograms {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Stage")
    }
}
