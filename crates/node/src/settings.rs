//! A node's settings: YAML text that is validated completely before the node
//! starts.

use std::net::SocketAddr;
use std::path::Path;

use sassafrasspool_core::DedupSettings;
use sassafrasspool_core::DomainName;
use sassafrasspool_core::Faults;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::RegionName;
use sassafrasspool_core::ServiceName;

pub use self::control::ControlSettings;
pub use self::drain::DrainSettings;
pub use self::error::SettingsError;
pub use self::file::SettingsFile;
pub use self::link::LinkSettings;
pub use self::listen::Listen;
pub use self::log::LogFormat;
pub use self::log::LogLevel;
pub use self::log::LogSettings;
pub use self::platform::PlatformSettings;
pub use self::spread::SpreadSettings;
pub use self::spread::Strategy;
pub use self::target::TargetSettings;

mod control;
mod drain;
mod error;
mod file;
mod link;
mod listen;
mod log;
mod platform;
mod read;
mod repeat;
mod spread;
mod target;
#[cfg(test)]
mod tests;
mod value;

/// All settings of a node.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The instance whose target the node runs beside.
    pub instance: InstanceId,
    /// The service that the instance belongs to.
    pub service: ServiceName,
    /// The region of the instance.
    pub region: RegionName,
    /// The failure domain of the instance.
    pub domain: DomainName,
    /// The addresses that the node listens on.
    pub listen: Listen,
    /// The local target.
    pub target: TargetSettings,
    /// The platform's read-only service and the fleet's share of it.
    pub platform: PlatformSettings,
    /// Control addresses of peers that are contacted before the node has an
    /// instance list.
    pub seeds: Vec<SocketAddr>,
    /// Limits of the connections for control messages.
    pub control: ControlSettings,
    /// Dissemination of versions between nodes.
    pub spread: SpreadSettings,
    /// The number of threads that forward requests.
    pub traffic_threads: usize,
    /// Deduplication by request key; the same on every node.
    pub repeat: DedupSettings,
    /// Format, level and rate of the log.
    pub log: LogSettings,
    /// Time limits of a stop.
    pub drain: DrainSettings,
    /// The network link of the instance.
    pub link: LinkSettings,
    /// The names of optional features that the deployment asks for. Names that the dialect
    /// doesn't know are ignored, so that a platform can list those of other systems too.
    pub features: Vec<String>,
}

impl Settings {
    /// Parses settings from their YAML text.
    ///
    /// # Errors
    ///
    /// Returns every fault with its line and column: a missing or unknown field,
    /// a value out of range, a text over 64 KiB.
    ///
    /// # Example
    ///
    /// ```
    /// use sassafrasspool_node::Settings;
    ///
    /// let faults = Settings::parse("instance: wd-1").expect_err("required sections are missing");
    /// assert!(faults.to_string().contains("listen: is missing"));
    /// ```
    pub fn parse(text: &str) -> Result<Settings, Faults> {
        read::read(text)
    }

    /// Reads settings from a file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read, or with every fault in its text.
    pub fn load(file: &Path) -> Result<Settings, SettingsError> {
        SettingsFile::open(file).map(|(_, settings)| settings)
    }

    /// The names of the parts that differ from `new` and take effect only after a
    /// restart.
    pub fn parts_needing_restart(&self, new: &Settings) -> Vec<&'static str> {
        let same = [
            ("instance", self.instance == new.instance),
            ("region", self.region == new.region),
            ("domain", self.domain == new.domain),
            ("listen", self.listen == new.listen),
            ("target", self.target == new.target),
            ("platform", self.platform == new.platform),
            ("control", self.control == new.control),
            ("spread", self.spread == new.spread),
            (
                "traffic_threads",
                self.traffic_threads == new.traffic_threads,
            ),
            ("repeat", self.repeat == new.repeat),
            ("log", self.log == new.log),
            ("drain", self.drain == new.drain),
            ("link", self.link == new.link),
            ("features", self.features == new.features),
        ];
        let changed = same.into_iter().filter(|(_, same)| !same);
        changed.map(|(name, _)| name).collect()
    }
}
