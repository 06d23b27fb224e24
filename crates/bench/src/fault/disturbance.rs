//! Faults of a fleet that can be started and ended.

use rand::RngExt;
use sassafrasspool_core::Version;

use super::case_fleet::CaseFleet;

/// Failure domains of a generated fleet.
const DOMAINS: usize = 4;

/// A temporary fault.
#[derive(Debug, Clone)]
pub(super) enum Disturbance {
    /// These nodes are down.
    Crash(Vec<usize>),
    /// The control sides of these nodes are paused.
    Pause(Vec<usize>),
    /// These nodes are partitioned from the others and from the platform.
    Partition(Vec<usize>),
    /// The source has an outage.
    Outage,
    /// The source serves this old version.
    Stale(Version),
}

impl Disturbance {
    /// Draws two or three faults of different kinds.
    pub(super) fn draw(fleet: &mut CaseFleet, old: Version) -> Vec<Disturbance> {
        let quarter = (fleet.len() / 4).max(1);
        let domain = fleet.rng.random_range(0..DOMAINS);
        let all = [
            Disturbance::Crash(fleet.draw_nodes(quarter)),
            Disturbance::Pause(fleet.draw_nodes(quarter)),
            Disturbance::Partition(fleet.nodes_of_domain(domain)),
            Disturbance::Outage,
            Disturbance::Stale(old),
        ];
        let count = fleet.rng.random_range(2..=3);
        let mut drawn: Vec<Disturbance> = all.to_vec();
        while drawn.len() > count {
            let out = fleet.rng.random_range(0..drawn.len());
            drawn.remove(out);
        }
        drawn
    }

    pub(super) fn begin(&self, fleet: &mut CaseFleet) -> miette::Result<()> {
        match self {
            Disturbance::Crash(nodes) => fleet.crash(nodes)?,
            Disturbance::Pause(nodes) => fleet.pause(nodes),
            Disturbance::Partition(nodes) => fleet.partition(nodes, true),
            Disturbance::Outage => fleet.begin_outage(),
            Disturbance::Stale(version) => fleet.begin_stale(*version)?,
        }
        Ok(())
    }

    pub(super) fn end(&self, fleet: &mut CaseFleet) -> miette::Result<()> {
        match self {
            Disturbance::Crash(nodes) => fleet.restart(nodes)?,
            Disturbance::Pause(nodes) => fleet.resume(nodes),
            Disturbance::Partition(_) => fleet.end_partition(),
            Disturbance::Outage => fleet.end_outage(),
            Disturbance::Stale(_) => fleet.end_stale(),
        }
        Ok(())
    }
}
