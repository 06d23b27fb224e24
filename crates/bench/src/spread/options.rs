//! Options of a run.

use std::time::Duration;

use crate::control_fleet::FleetOptions;

/// What to measure.
#[derive(Debug, Clone)]
pub struct Options {
    /// The fleet.
    pub fleet: FleetOptions,
    /// Changes that are published, one after the other.
    pub changes: usize,
    /// Time from one change to the next.
    pub pace: Duration,
    /// How long the idle fleet is measured first.
    pub idle: Duration,
}
