//! Options of a run.

use std::time::Duration;

use crate::control_fleet::FleetOptions;

/// The fleet and the changes to measure.
#[derive(Debug, Clone)]
pub struct Options {
    /// Options of the fleet.
    pub fleet: FleetOptions,
    /// Number of changes, published one after the other.
    pub changes: usize,
    /// Interval between two changes.
    pub change_interval: Duration,
    /// How long the idle fleet is measured before the changes.
    pub idle_time: Duration,
}
