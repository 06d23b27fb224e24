//! What a target stand-in starts with.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::time::Duration;

use serde::Deserialize;

use super::crash_on::CrashOn;
use super::service_times::ServiceTimes;

/// The settings of a target stand-in, each with a default.
#[derive(Debug, Clone, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetSettings {
    /// Where it serves; port 0 takes any free port.
    pub listen: SocketAddr,
    /// Where it is switched and its ledger is read.
    pub admin: SocketAddr,
    /// Requests that it runs at once; more are shed.
    pub slots: NonZeroU32,
    /// Connections that it holds at once; more are closed on arrival.
    pub connections: NonZeroU32,
    /// Milliseconds after each start in which it refuses all work.
    pub cold_start_ms: u64,
    /// Milliseconds that a new connection takes before it is served.
    pub connect_ms: u64,
    /// Milliseconds that a probe of its health or load takes.
    pub probe_ms: u64,
    /// How long a request runs.
    pub service: ServiceTimes,
    /// Requests that crash it, if there are any.
    pub crash_on: Option<CrashOn>,
    /// Whether work stops when the caller hangs up. Otherwise it goes on,
    /// with its slot, and nobody gets the answer.
    pub honours_cancellation: bool,
    /// Runs that the ledger keeps; later ones are only counted.
    pub ledger_runs: usize,
}

/// Slots if the settings name none.
const DEFAULT_SLOTS: NonZeroU32 = NonZeroU32::new(10).unwrap();

/// Connections if the settings name none.
const DEFAULT_CONNECTIONS: NonZeroU32 = NonZeroU32::new(120).unwrap();

/// Runs kept if the settings name no number.
const DEFAULT_LEDGER_RUNS: usize = 1_000_000;

impl TargetSettings {
    /// The cold start as a duration.
    pub(super) fn cold_start(&self) -> Duration {
        Duration::from_millis(self.cold_start_ms)
    }
}

impl Default for TargetSettings {
    fn default() -> TargetSettings {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        TargetSettings {
            listen: any_port,
            admin: any_port,
            slots: DEFAULT_SLOTS,
            connections: DEFAULT_CONNECTIONS,
            cold_start_ms: 0,
            connect_ms: 0,
            probe_ms: 0,
            service: ServiceTimes::default(),
            crash_on: None,
            honours_cancellation: true,
            ledger_runs: DEFAULT_LEDGER_RUNS,
        }
    }
}
