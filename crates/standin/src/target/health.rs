//! The target's actual and reported health.

use serde::Deserialize;
use serde::Serialize;

use super::switches::HealthReport;

/// Whether a target accepts work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Readiness {
    /// The target accepts work.
    Ready,
    /// The target is in its cold start.
    Cold,
    /// The target finishes runs in progress and refuses new work.
    Draining,
}

impl Readiness {
    /// The answer text of refusals and probes.
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
    /// The number of slots, free or in use.
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

/// The override of the reported health.
#[derive(Debug, Default)]
pub(super) enum HealthOverride {
    #[default]
    Actual,
    Healthy,
    Unhealthy,
    Frozen(Health),
}

impl HealthOverride {
    /// The override for `report`, set while the actual health is `actual`.
    pub(super) fn new(report: HealthReport, actual: Health) -> HealthOverride {
        match report {
            HealthReport::Truth => HealthOverride::Actual,
            HealthReport::Well => HealthOverride::Healthy,
            HealthReport::Ill => HealthOverride::Unhealthy,
            HealthReport::Frozen => HealthOverride::Frozen(actual),
        }
    }

    /// The health reported when the actual health is `actual`.
    pub(super) fn report(&self, actual: Health) -> Health {
        let slots = actual.load.slots;
        match self {
            HealthOverride::Actual => actual,
            HealthOverride::Healthy => Health {
                readiness: Readiness::Ready,
                load: Load {
                    inflight: 0,
                    slots,
                    connections: 0,
                },
            },
            HealthOverride::Unhealthy => Health {
                readiness: Readiness::Draining,
                load: Load {
                    inflight: slots,
                    ..actual.load
                },
            },
            HealthOverride::Frozen(health) => *health,
        }
    }
}
