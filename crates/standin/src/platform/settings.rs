//! What a platform stand-in starts with.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;

use serde::Deserialize;

/// The settings of a platform stand-in, each with a default.
#[derive(Debug, Clone, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformSettings {
    /// Where readers read; port 0 takes any free port.
    pub listen: SocketAddr,
    /// Where it is published to and switched.
    pub admin: SocketAddr,
    /// Reads per second over all readers.
    pub reads_per_s: u32,
    /// Reads that may come at once after a pause; a tenth of a second's worth
    /// if absent.
    pub read_burst: Option<u32>,
    /// Whether values go out compressed by `zstd` to readers that take it.
    pub compress: bool,
    /// A catalogue to publish at the start.
    pub catalogue: Option<PathBuf>,
    /// An instance list (JSON) to publish at the start.
    pub instances: Option<PathBuf>,
}

/// The read budget if the settings name none, in reads per second.
const DEFAULT_READS_PER_S: u32 = 2_000;

impl PlatformSettings {
    /// The burst in force, at least one read.
    pub(super) fn burst(&self) -> u32 {
        self.read_burst.unwrap_or(self.reads_per_s / 10).max(1)
    }
}

impl Default for PlatformSettings {
    fn default() -> PlatformSettings {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        PlatformSettings {
            listen: any_port,
            admin: any_port,
            reads_per_s: DEFAULT_READS_PER_S,
            read_burst: None,
            compress: false,
            catalogue: None,
            instances: None,
        }
    }
}
