//! A node's settings: YAML text, checked whole before anything starts.

use std::net::SocketAddr;

use sassafrasspool_core::DomainName;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::RegionName;
use sassafrasspool_core::ServiceName;

pub use self::drain::DrainSettings;
pub use self::listen::Listen;
pub use self::log::LogFormat;
pub use self::log::LogLevel;
pub use self::log::LogSettings;
pub use self::platform::PlatformSettings;
pub use self::spread::SpreadSettings;
pub use self::target::TargetSettings;

mod drain;
mod listen;
mod log;
mod platform;
mod spread;
mod target;

/// Everything that a node is told at its start.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The instance beside which the node runs.
    pub instance: InstanceId,
    /// The service that the instance belongs to.
    pub service: ServiceName,
    /// The region that it stands in.
    pub region: RegionName,
    /// The failure domain that it stands in.
    pub domain: DomainName,
    /// Where the node listens.
    pub listen: Listen,
    /// The target beside it.
    pub target: TargetSettings,
    /// The platform's read-only service.
    pub platform: PlatformSettings,
    /// Control addresses to ask before the instance list is known.
    pub seeds: Vec<SocketAddr>,
    /// How versions travel between nodes.
    pub spread: SpreadSettings,
    /// Threads that move requests.
    pub traffic_threads: usize,
    /// How the node logs.
    pub log: LogSettings,
    /// How the node stops.
    pub drain: DrainSettings,
}
