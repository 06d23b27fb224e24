//! Options of a fleet.

use crate::generate::Shape;

/// Size of a fleet and settings of the dissemination.
#[derive(Debug, Clone)]
pub struct FleetOptions {
    /// Number of running nodes; the list may have more endpoints.
    pub nodes: usize,
    /// Size of the catalogue and of the list.
    pub shape: Shape,
    /// Whether every node reads the platform itself.
    pub naive: bool,
    /// Whether the platform serves its values compressed.
    pub compress: bool,
    /// Settings that differ from the defaults.
    pub tuning: Tuning,
}

/// Settings of the dissemination that a run may override; absent ones keep
/// the node's defaults.
#[derive(Debug, Clone, Copy, Default)]
pub struct Tuning {
    /// Number of peers to which a new version is announced at once.
    pub fanout: Option<u32>,
    /// Interval of anti-entropy, in milliseconds.
    pub interval_ms: Option<u64>,
    /// Delay before an announcement is forwarded, in milliseconds.
    pub linger_ms: Option<u64>,
    /// Largest change that is sent with its announcement, in bytes.
    pub eager_bytes: Option<u64>,
    /// Readers in each failure domain.
    pub readers: Option<u32>,
    /// Percentage of peers picked outside of the failure domain.
    pub cross_domain_percent: Option<u32>,
    /// Longest time that the platform holds a watch, in milliseconds.
    pub watch_ms: Option<u64>,
}

impl Tuning {
    /// The settings that are present, each as a YAML entry `key: value`.
    pub(super) fn entries(&self) -> Vec<String> {
        let settings = [
            ("fanout", self.fanout.map(u64::from)),
            ("interval_ms", self.interval_ms),
            ("linger_ms", self.linger_ms),
            ("eager_bytes", self.eager_bytes),
            ("readers", self.readers.map(u64::from)),
            (
                "cross_domain_percent",
                self.cross_domain_percent.map(u64::from),
            ),
            ("watch_ms", self.watch_ms),
        ];
        let set = settings.iter().filter_map(|(key, value)| {
            let value = (*value)?;
            Some(format!("{key}: {value}"))
        });
        set.collect()
    }
}
