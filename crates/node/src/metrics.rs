//! Prometheus metrics for operators, under names that begin with
//! `sassafrasspool_`.
//!
//! All metrics go through the single recorder of the process. Where many nodes
//! run in one process, as in tests, the recorder sums their counters; the
//! figures of a single node are in its status.

use std::sync::OnceLock;

use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;
use metrics_process::Collector;

pub(crate) use self::report::Report;

pub(crate) mod names;
mod report;
pub(crate) mod traffic;

/// Upper bounds of the histograms' buckets, in seconds: from the latency that two
/// hops add up to the longest timeouts in use. Counts in fixed buckets need no
/// memory per request.
const SECONDS_BUCKETS: [f64; 12] = [
    0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 8.0,
];

/// The prefix of the names of the process metrics.
const PROCESS_PREFIX: &str = "sassafrasspool_";

static RECORDER: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Installs the recorder, unless the process has one.
pub(crate) fn install() {
    let _ = recorder();
}

/// The page of all metrics; empty if the process has another recorder.
pub(crate) fn render() -> String {
    match recorder() {
        Some(handle) => {
            process().collect();
            handle.run_upkeep();
            handle.render()
        }
        None => String::new(),
    }
}

/// Collects the process's CPU time, memory, threads and file descriptors.
fn process() -> Collector {
    Collector::new(PROCESS_PREFIX)
}

fn recorder() -> Option<&'static PrometheusHandle> {
    let installed = RECORDER.get_or_init(|| {
        let builder = PrometheusBuilder::new()
            .set_buckets(&SECONDS_BUCKETS)
            .ok()?;
        let handle = builder.install_recorder().ok()?;
        names::describe();
        traffic::describe();
        process().describe();
        Some(handle)
    });
    installed.as_ref()
}
