//! Options of a run.

use super::Case;
use crate::control_fleet::FleetOptions;

/// The cases to run, and the fleet.
#[derive(Debug, Clone)]
pub struct Options {
    /// The cases, run one after the other, each on its own fleet.
    pub cases: Vec<Case>,
    /// Options of each fleet.
    pub fleet: FleetOptions,
}
