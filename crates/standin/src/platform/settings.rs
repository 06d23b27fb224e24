//! The settings of a platform stand-in.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;

use serde::Deserialize;

/// The settings of a platform stand-in, each with a default.
#[derive(Debug, Clone, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformSettings {
    /// The address of the read port; port 0 takes any free port.
    pub listen: SocketAddr,
    /// The address of the admin port, which takes publications and switches.
    pub admin: SocketAddr,
    /// The read budget over all readers, in reads per second.
    pub reads_per_s: u32,
    /// The burst of the read budget, in reads; a tenth of `reads_per_s` if
    /// absent.
    pub read_burst: Option<u32>,
    /// Whether values are compressed with `zstd` for readers that accept it.
    pub compress: bool,
    /// The file of a catalogue to publish at the start.
    pub catalogue: Option<PathBuf>,
    /// The file of an instance list (JSON) to publish at the start.
    pub instances: Option<PathBuf>,
}

/// The default read budget in reads per second.
const DEFAULT_READS_PER_S: u32 = 2_000;

impl PlatformSettings {
    /// The effective burst in reads, at least one.
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
