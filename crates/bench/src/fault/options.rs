//! Options of a run.

use super::Case;
use crate::control_fleet::FleetOptions;

/// Which cases to run, on what fleet.
#[derive(Debug, Clone)]
pub struct Options {
    /// The cases, one after the other, each on a fleet of its own.
    pub cases: Vec<Case>,
    /// The fleet.
    pub fleet: FleetOptions,
}
