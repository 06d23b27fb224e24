//! A node's settings: YAML text, checked whole before anything starts.

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
pub use self::fault::SettingsError;
pub use self::file::SettingsFile;
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
mod fault;
mod file;
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
    /// Connections for control messages.
    pub control: ControlSettings,
    /// How versions travel between nodes.
    pub spread: SpreadSettings,
    /// Threads that move requests.
    pub traffic_threads: usize,
    /// How repeats of a request are recognised; the same on every node.
    pub repeat: DedupSettings,
    /// How the node logs.
    pub log: LogSettings,
    /// How the node stops.
    pub drain: DrainSettings,
}

impl Settings {
    /// Reads settings from their YAML text.
    ///
    /// # Errors
    ///
    /// Returns every fault with its place: a field that is missing or
    /// unknown, a value out of range, a text over 64 KiB.
    ///
    /// # Example
    ///
    /// ```
    /// use sassafrasspool_node::Settings;
    ///
    /// let faults = Settings::parse("instance: wd-1").expect_err("much is missing");
    /// assert!(faults.to_string().contains("listen: is missing"));
    /// ```
    pub fn parse(text: &str) -> Result<Settings, Faults> {
        read::read(text)
    }

    /// Reads settings from a file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read, or with every fault of its text.
    pub fn load(file: &Path) -> Result<Settings, SettingsError> {
        SettingsFile::open(file).map(|(_, settings)| settings)
    }

    /// The parts that differ from `new` and that a running node can't take
    /// over.
    pub fn fixed_parts_changed(&self, new: &Settings) -> Vec<&'static str> {
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
        ];
        let changed = same.into_iter().filter(|(_, same)| !same);
        changed.map(|(name, _)| name).collect()
    }
}
