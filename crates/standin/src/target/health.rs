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
pub(super) enum HealthSwitch {
    #[default]
    Truth,
    Well,
    Ill,
    Frozen(Health),
}

impl HealthSwitch {
    /// The switch for `report`, turned while `so` is so.
    pub(super) fn new(report: HealthReport, so: Health) -> HealthSwitch {
        match report {
            HealthReport::Truth => HealthSwitch::Truth,
            HealthReport::Well => HealthSwitch::Well,
            HealthReport::Ill => HealthSwitch::Ill,
            HealthReport::Frozen => HealthSwitch::Frozen(so),
        }
    }

    /// What is reported when `so` is so.
    pub(super) fn report(&self, so: Health) -> Health {
        let slots = so.load.slots;
        match self {
            HealthSwitch::Truth => so,
            HealthSwitch::Well => Health {
                readiness: Readiness::Ready,
                load: Load {
                    inflight: 0,
                    slots,
                    connections: 0,
                },
            },
            HealthSwitch::Ill => Health {
                readiness: Readiness::Draining,
                load: Load {
                    inflight: slots,
                    ..so.load
                },
            },
            HealthSwitch::Frozen(then) => *then,
        }
    }
}
