//! The settings of a target stand-in.

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
    /// The address at which it serves requests; port 0 takes any free port.
    pub listen: SocketAddr,
    /// The address of the admin port, which takes switches and serves the ledger.
    pub admin: SocketAddr,
    /// The maximum number of concurrent requests; more are shed.
    pub slots: NonZeroU32,
    /// The maximum number of open connections; more are closed on arrival.
    pub connections: NonZeroU32,
    /// The length of the cold start, in which it refuses all work, in milliseconds.
    pub cold_start_ms: u64,
    /// The delay before a new connection is served, in milliseconds.
    pub connect_ms: u64,
    /// The delay of answers to health and load probes, in milliseconds.
    pub probe_ms: u64,
    /// The service times of requests.
    pub service: ServiceTimes,
    /// The requests that crash it, if any.
    pub crash_on: Option<CrashOn>,
    /// Whether work stops when the caller disconnects. Otherwise it continues and
    /// holds its slot, and the answer is discarded.
    pub honours_cancellation: bool,
    /// The maximum number of runs in the ledger; later ones are only counted.
    pub ledger_runs: usize,
}

/// The default number of slots.
const DEFAULT_SLOTS: NonZeroU32 = NonZeroU32::new(10).unwrap();

/// The default maximum of open connections.
const DEFAULT_CONNECTIONS: NonZeroU32 = NonZeroU32::new(120).unwrap();

/// The default maximum of runs in the ledger.
const DEFAULT_LEDGER_RUNS: usize = 1_000_000;

impl TargetSettings {
    /// The length of the cold start.
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
