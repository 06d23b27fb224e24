//! The specification of a fleet.

use std::time::Duration;

use sassafrasspool_standin::TargetSettings;

/// The specification of one instance, without addresses.
#[derive(Debug, Clone)]
pub struct InstanceSpec {
    /// The service of the instance.
    pub service: String,
    /// Its failure domain.
    pub domain: &'static str,
    /// How its target behaves. The fleet assigns the ports.
    pub target: TargetSettings,
}

/// The specification of a fleet.
#[derive(Debug, Clone)]
pub struct FleetSpec {
    /// The instances.
    pub instances: Vec<InstanceSpec>,
    /// The catalogue that is published first.
    pub catalogue: String,
    /// Whether nodes are started. The naive proxy uses none.
    pub with_nodes: bool,
    /// Lines appended to each node's settings.
    pub extra_settings: &'static str,
    /// Whether nodes reach each other through links that can be made to fail.
    pub with_links: bool,
    /// How long the start may take until all nodes are ready.
    pub ready_timeout: Duration,
}

/// The failure domains over which instances are placed round-robin.
pub const DOMAINS: [&str; 3] = ["bayanzurkh", "khan-uul", "sukhbaatar"];

impl InstanceSpec {
    /// The `n`th instance of a fleet, placed in a failure domain round-robin.
    pub fn new(n: usize, service: impl Into<String>, target: TargetSettings) -> InstanceSpec {
        InstanceSpec {
            service: service.into(),
            domain: DOMAINS[n % DOMAINS.len()],
            target,
        }
    }
}
