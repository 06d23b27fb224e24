//! Counters and gauges for operators, under names that begin with
//! `sassafrasspool_`.
//!
//! They go through the process's one recorder. Where many nodes run in one
//! process, as in tests, their figures add up there; each node's own are in
//! its status.

use std::sync::OnceLock;

use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;
use metrics_process::Collector;

pub(crate) use self::report::Report;

pub(crate) mod names;
mod report;
pub(crate) mod traffic;

/// Bounds of the histograms' buckets, in seconds: from what two hops add up to
/// the longest timeouts of today. Counted in buckets, a request costs a node no
/// memory.
const SECONDS_BUCKETS: [f64; 12] = [
    0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 8.0,
];

/// What the names of the process's figures begin with.
const PROCESS_PREFIX: &str = "sassafrasspool_";

static RECORDER: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Installs the recorder, unless the process has one.
pub(crate) fn install() {
    let _ = recorder();
}

/// The page of all metrics, or nothing if another recorder was installed.
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

/// The process's processor time, memory, threads and descriptors.
fn process() -> Collector {
    Collector::new(PROCESS_PREFIX)
}

fn recorder() -> Option<&'static PrometheusHandle> {
    let made = RECORDER.get_or_init(|| {
        let builder = PrometheusBuilder::new()
            .set_buckets(&SECONDS_BUCKETS)
            .ok()?;
        let handle = builder.install_recorder().ok()?;
        names::describe();
        traffic::describe();
        process().describe();
        Some(handle)
    });
    made.as_ref()
}
