//! The cases.

pub mod born;
pub mod chunks;
pub mod foreign;
pub mod frozen;
pub mod limits;
pub mod refused;
pub mod storm;
pub mod truncated;

use std::thread;
use std::time::Duration;

use crate::mesh::Deployment;
use crate::operator::Entry;
use crate::target::TargetConfig;

/// Sleeps until this many milliseconds since the start of the run.
pub fn sleep_until(record: &crate::record::Record, ms: u64) {
    let left = ms.saturating_sub(record.now_ms());
    thread::sleep(Duration::from_millis(left));
}

/// The target of a machine, and its entry.
pub fn target_of(
    mesh: &Deployment,
    machine: usize,
    service: &str,
    id: &str,
) -> (TargetConfig, Entry) {
    let cfg = TargetConfig {
        addr: mesh.target(machine),
        generation: id.to_owned(),
        service: service.to_owned(),
        work: Duration::from_millis(20),
        truncates_each: 0,
    };
    let entry = Entry {
        id: id.to_owned(),
        service: service.to_owned(),
        addr: cfg.addr,
        zone: mesh.zones[machine].to_owned(),
        state: "ready",
        sequence: 1,
        born: None,
    };
    (cfg, entry)
}
