//! Settings of the choice of endpoints.

use std::time::Duration;

use crate::EjectSettings;

/// How endpoints are chosen.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RouteSettings {
    /// Endpoints of a service that a node sends to; bounds its connections.
    pub subset_size: usize,
    /// How many of these stand in other failure domains at least.
    pub subset_elsewhere: usize,
    /// Endpoints that are drawn at random for a request, of which the one of least cost gets
    /// it.
    pub choices: usize,
    /// The load over slots, in percent, up to which endpoints count as equally full: a
    /// target answers the same while it has slots to spare.
    pub idle_percent: u32,
    /// How long a load report counts; it fades until then.
    pub reading_ttl: Duration,
    /// How long a cold endpoint takes to get its full share: targets in use are
    /// slow for 3 s after their start.
    pub slow_start: Duration,
    /// The load over slots, in percent, from which on requests spill over to
    /// the next tier.
    pub spill_percent: u32,
    /// How much less loaded, in percent of its slots, an endpoint of a further
    /// tier must be to be preferred if it is full as well.
    pub spill_margin_percent: u32,
    /// How long an endpoint that refused because it drains is left out, until
    /// its own word arrives by the control path.
    pub drain_pause: Duration,
    /// Ejection of endpoints that fail.
    pub eject: EjectSettings,
}

impl Default for RouteSettings {
    fn default() -> RouteSettings {
        RouteSettings {
            subset_size: 12,
            subset_elsewhere: 4,
            choices: 4,
            idle_percent: 50,
            reading_ttl: Duration::from_secs(1),
            slow_start: Duration::from_secs(3),
            spill_percent: 90,
            spill_margin_percent: 20,
            drain_pause: Duration::from_secs(2),
            eject: EjectSettings::default(),
        }
    }
}
