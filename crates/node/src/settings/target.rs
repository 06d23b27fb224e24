//! Settings of the local target.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use sassafrasspool_core::ColdTolerance;
use sassafrasspool_core::Faults;
use sassafrasspool_core::yaml::Table;

use super::value::addr;
use super::value::decimal;
use super::value::millis_or;
use super::value::path;

/// Allowed numbers of a target's slots.
const SLOTS: RangeInclusive<u64> = 1..=10_000;
/// The default number of slots. No target can have fewer.
const DEFAULT_SLOTS: u64 = 1;
/// Allowed numbers of connections to a target.
const CONNECTIONS: RangeInclusive<u64> = 1..=10_000;
/// Allowed intervals between two readiness probes, in milliseconds.
const PROBE_MS: RangeInclusive<u64> = 10..=60_000;
/// Allowed values of the requests that a cold target tolerates within a second, as a
/// multiple of its rate limit while cold.
const COLD_OVER: RangeInclusive<f64> = 1.0..=10.0;
/// Allowed numbers of requests that a cold target tolerates beyond that.
const COLD_SLACK: RangeInclusive<f64> = 0.0..=1_000.0;
/// The default interval between two readiness probes of a starting target.
const DEFAULT_PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// The address and limits of the local target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetSettings {
    /// The address of the target.
    pub addr: SocketAddr,
    /// Requests that the target runs at once, until the instance list has the number.
    pub slots: u32,
    /// The most connections that the node opens to the target; equal to its slots by
    /// default.
    pub connections: u32,
    /// The path that answers 200 once the target has started. Without it the target isn't
    /// probed and the instance list is used instead; this suits targets for which probes
    /// cost work.
    pub ready_path: Option<String>,
    /// The interval between two probes of that path while the target is starting.
    pub probe_interval: Duration,
    /// The load that the target tolerates while it is cold.
    pub cold_tolerance: ColdTolerance,
}

impl TargetSettings {
    pub(super) fn read(mut table: Table<'_>, faults: &mut Faults) -> Option<TargetSettings> {
        let addr = table.text("addr", faults, addr);
        let slots = table.number_or("slots", SLOTS, DEFAULT_SLOTS, faults);
        let default = slots.unwrap_or(*CONNECTIONS.start());
        let connections = table.number_or("connections", CONNECTIONS, default, faults);
        let ready_path = table.optional_text("ready_path", faults, path);
        let probe_interval = millis_or(
            &mut table,
            "probe_ms",
            PROBE_MS,
            DEFAULT_PROBE_INTERVAL,
            faults,
        );
        let cold_tolerance = read_cold_tolerance(&mut table, faults);
        table.finish(faults);
        Some(TargetSettings {
            addr: addr?,
            slots: u32::try_from(slots?).ok()?,
            connections: u32::try_from(connections?).ok()?,
            ready_path,
            probe_interval: probe_interval?,
            cold_tolerance,
        })
    }
}

/// Reads the load that a cold target tolerates. Each number is text; empty text stands for
/// the default, for platforms that don't provide the number.
fn read_cold_tolerance(table: &mut Table<'_>, faults: &mut Faults) -> ColdTolerance {
    let default = ColdTolerance::default();
    let over = table.optional_text("cold_over", faults, |text| decimal(text, &COLD_OVER, ""));
    let slack = table.optional_text("cold_slack", faults, |text| decimal(text, &COLD_SLACK, ""));
    let over = over.flatten().map(|over| (over * 100.0) as u32);
    let slack = slack.flatten().map(|slack| slack as u32);
    ColdTolerance {
        max_rate_percent: over.unwrap_or(default.max_rate_percent),
        slack_requests: slack.unwrap_or(default.slack_requests),
    }
}
