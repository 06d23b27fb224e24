//! What a fleet consists of.

use std::time::Duration;

use sassafrasspool_standin::TargetSettings;

/// One instance before it has addresses.
#[derive(Debug, Clone)]
pub struct Place {
    /// The service of the instance.
    pub service: String,
    /// Its failure domain.
    pub domain: &'static str,
    /// How its target behaves. The ports are taken by the fleet.
    pub target: TargetSettings,
}

/// A fleet before it is started.
#[derive(Debug, Clone)]
pub struct Layout {
    /// The instances.
    pub places: Vec<Place>,
    /// The catalogue that is published first.
    pub catalogue: String,
    /// Whether there are nodes; the naive version has none.
    pub nodes: bool,
    /// More lines of each node's settings.
    pub settings: &'static str,
    /// Whether nodes reach each other through links that can be held.
    pub links: bool,
    /// How long nodes may take until all are ready.
    pub patience: Duration,
}

/// The failure domains that instances stand in, in turn.
pub const DOMAINS: [&str; 3] = ["bayanzurkh", "khan-uul", "sukhbaatar"];

impl Place {
    /// The `n`th instance of a fleet, standing in a failure domain in turn.
    pub fn new(n: usize, service: impl Into<String>, target: TargetSettings) -> Place {
        Place {
            service: service.into(),
            domain: DOMAINS[n % DOMAINS.len()],
            target,
        }
    }
}
