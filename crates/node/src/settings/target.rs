//! The target beside a node.

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

/// Bounds of a target's slots.
const SLOTS: RangeInclusive<u64> = 1..=10_000;
/// Slots of a target of which nothing is known: it can't run fewer.
const DEFAULT_SLOTS: u64 = 1;
/// Bounds of the connections to a target.
const CONNECTIONS: RangeInclusive<u64> = 1..=10_000;
/// Bounds of the time between two probes, in milliseconds.
const PROBE_MS: RangeInclusive<u64> = 10..=60_000;
/// Bounds of what a cold target tolerates within a second, as a multiple of the rate that
/// it bears.
const COLD_OVER: RangeInclusive<f64> = 1.0..=10.0;
/// Bounds of the requests that it tolerates beyond that.
const COLD_SLACK: RangeInclusive<f64> = 0.0..=1_000.0;
/// Time between two probes of a target that is starting.
const DEFAULT_PROBE: Duration = Duration::from_millis(200);

/// The target and its limits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetSettings {
    /// Where it takes requests.
    pub addr: SocketAddr,
    /// Requests that it runs at once, until the instance list tells.
    pub slots: u32,
    /// Connections that the node opens to it at most; its slots by default.
    pub connections: u32,
    /// The path that answers 200 once the target has started; absent if the
    /// instance list is believed instead, where probes cost the target work.
    pub ready_path: Option<String>,
    /// Time between two probes of that path while the target is starting.
    pub probe: Duration,
    /// What it tolerates while it is cold.
    pub cold: ColdTolerance,
}

impl TargetSettings {
    pub(super) fn read(mut table: Table<'_>, faults: &mut Faults) -> Option<TargetSettings> {
        let addr = table.text("addr", faults, addr);
        let slots = table.number_or("slots", SLOTS, DEFAULT_SLOTS, faults);
        let default = slots.unwrap_or(*CONNECTIONS.start());
        let connections = table.number_or("connections", CONNECTIONS, default, faults);
        let ready_path = table.optional_text("ready_path", faults, path);
        let probe = millis_or(&mut table, "probe_ms", PROBE_MS, DEFAULT_PROBE, faults);
        let cold = read_cold(&mut table, faults);
        table.finish(faults);
        Some(TargetSettings {
            addr: addr?,
            slots: u32::try_from(slots?).ok()?,
            connections: u32::try_from(connections?).ok()?,
            ready_path,
            probe: probe?,
            cold,
        })
    }
}

/// What a cold target tolerates; each figure is text, and empty if the platform doesn't
/// tell it.
fn read_cold(table: &mut Table<'_>, faults: &mut Faults) -> ColdTolerance {
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
