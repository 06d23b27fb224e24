//! Settings of load balancing.

use std::time::Duration;

use crate::EjectSettings;

/// How endpoints are picked.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RouteSettings {
    /// Number of endpoints of a service that a node sends to; it bounds the connections.
    pub subset_size: usize,
    /// The least number of these in other failure domains.
    pub subset_other_domains: usize,
    /// Number of endpoints that are drawn at random for a request; the one of least cost gets
    /// the request.
    pub choices: usize,
    /// The load over slots, in percent, up to which endpoints count as equally full: a
    /// target answers equally fast while it has free slots.
    pub idle_percent: u32,
    /// How long a load report counts; its weight fades to zero over this time.
    pub load_report_ttl: Duration,
    /// How long an endpoint takes after its start to get its full share: targets in use are
    /// slow for 3 s after their start.
    pub slow_start: Duration,
    /// The load over slots, in percent, above which requests spill over to the next tier.
    pub spill_percent: u32,
    /// How much less loaded, in percent of its slots, a full endpoint of a further tier must
    /// be to be preferred to a full one of a nearer tier.
    pub spill_margin_percent: u32,
    /// How long an endpoint that refused because it drains is excluded, unless the
    /// announcement of its own node arrives by the control path before.
    pub drain_pause: Duration,
    /// Outlier ejection.
    pub eject: EjectSettings,
}

impl Default for RouteSettings {
    fn default() -> RouteSettings {
        RouteSettings {
            subset_size: 12,
            subset_other_domains: 4,
            choices: 4,
            idle_percent: 50,
            load_report_ttl: Duration::from_secs(1),
            slow_start: Duration::from_secs(3),
            spill_percent: 90,
            spill_margin_percent: 20,
            drain_pause: Duration::from_secs(2),
            eject: EjectSettings::default(),
        }
    }
}
