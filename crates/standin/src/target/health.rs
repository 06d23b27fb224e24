//! The target's health, and what it says of it.

use serde::Deserialize;
use serde::Serialize;

use super::switches::HealthReport;

/// Whether a target takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Readiness {
    /// It takes work.
    Ready,
    /// It is starting.
    Cold,
    /// It finishes what it has.
    Draining,
}

impl Readiness {
    /// The text of refusals and probes.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Readiness::Ready => "ok",
            Readiness::Cold => "cold",
            Readiness::Draining => "draining",
        }
    }
}

/// The body of the load endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Slots in use.
    pub inflight: u32,
    /// All slots.
    pub slots: u32,
    /// Open connections.
    pub connections: u64,
}

/// Readiness and load at one moment.
#[derive(Debug, Clone, Copy)]
pub(super) struct Health {
    pub(super) readiness: Readiness,
    pub(super) load: Load,
}

/// What is reported in place of the truth.
#[derive(Debug, Default)]
pub(super) enum HealthOverride {
    #[default]
    Truth,
    Well,
    Ill,
    Frozen(Health),
}

impl HealthOverride {
    /// The switch for `report`, turned while `actual` is so.
    pub(super) fn new(report: HealthReport, actual: Health) -> HealthOverride {
        match report {
            HealthReport::Truth => HealthOverride::Truth,
            HealthReport::Well => HealthOverride::Well,
            HealthReport::Ill => HealthOverride::Ill,
            HealthReport::Frozen => HealthOverride::Frozen(actual),
        }
    }

    /// What is reported when `actual` is so.
    pub(super) fn report(&self, actual: Health) -> Health {
        let slots = actual.load.slots;
        match self {
            HealthOverride::Truth => actual,
            HealthOverride::Well => Health {
                readiness: Readiness::Ready,
                load: Load {
                    inflight: 0,
                    slots,
                    connections: 0,
                },
            },
            HealthOverride::Ill => Health {
                readiness: Readiness::Draining,
                load: Load {
                    inflight: slots,
                    ..actual.load
                },
            },
            HealthOverride::Frozen(then) => *then,
        }
    }
}
