//! What can be done to a fleet, begun and ended.

use rand::RngExt;
use sassafrasspool_core::Version;

use super::stage::Stage;

/// Failure domains of a generated fleet.
const DOMAINS: usize = 4;

/// Something that is wrong for a while.
#[derive(Debug, Clone)]
pub(super) enum Disturbance {
    /// These nodes are down.
    Crash(Vec<usize>),
    /// These nodes' processes stand still.
    Pause(Vec<usize>),
    /// These nodes are parted from the others and from the platform.
    Part(Vec<usize>),
    /// The source is out.
    Outage,
    /// The source serves this old version.
    Stale(Version),
}

impl Disturbance {
    /// One of each kind, of which those that are drawn are used.
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
