//! Faults of a fleet that can be started and ended.

use rand::RngExt;
use sassafrasspool_core::Version;

use super::stage::Stage;

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
    Part(Vec<usize>),
    /// The source has an outage.
    Outage,
    /// The source serves this old version.
    Stale(Version),
}

impl Disturbance {
    /// Draws two or three faults of different kinds.
    pub(super) fn draw(stage: &mut Stage, old: Version) -> Vec<Disturbance> {
        let quarter = (stage.len() / 4).max(1);
        let domain = stage.rng.random_range(0..DOMAINS);
        let all = [
            Disturbance::Crash(stage.some(quarter)),
            Disturbance::Pause(stage.some(quarter)),
            Disturbance::Part(stage.domain(domain)),
            Disturbance::Outage,
            Disturbance::Stale(old),
        ];
        let count = stage.rng.random_range(2..=3);
        let mut drawn: Vec<Disturbance> = all.to_vec();
        while drawn.len() > count {
            let out = stage.rng.random_range(0..drawn.len());
            drawn.remove(out);
        }
        drawn
    }

    pub(super) fn begin(&self, stage: &mut Stage) -> miette::Result<()> {
        match self {
            Disturbance::Crash(nodes) => stage.crash(nodes)?,
            Disturbance::Pause(nodes) => stage.pause(nodes),
            Disturbance::Part(nodes) => stage.part(nodes, true),
            Disturbance::Outage => stage.begin_outage(),
            Disturbance::Stale(version) => stage.begin_stale(*version)?,
        }
        Ok(())
    }

    pub(super) fn end(&self, stage: &mut Stage) -> miette::Result<()> {
        match self {
            Disturbance::Crash(nodes) => stage.restart(nodes)?,
            Disturbance::Pause(nodes) => stage.resume(nodes),
            Disturbance::Part(_) => stage.heal(),
            Disturbance::Outage => stage.end_outage(),
            Disturbance::Stale(_) => stage.end_stale(),
        }
        Ok(())
    }
}
