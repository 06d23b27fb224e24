//! What a fleet is started with.

use crate::generate::Shape;

/// A fleet's size and how its nodes spread versions.
#[derive(Debug, Clone)]
pub struct FleetOptions {
    /// Nodes that run; the list may have more endpoints.
    pub nodes: usize,
    /// Size of the catalogue and of the list.
    pub shape: Shape,
    /// Whether every node reads the platform for itself.
    pub naive: bool,
    /// Whether the platform hands out its values compressed.
    pub compress: bool,
    /// Settings that differ from the defaults.
    pub tuning: Tuning,
}

/// Settings of spreading that a run may change; absent ones keep the node's
/// defaults.
#[derive(Debug, Clone, Copy, Default)]
pub struct Tuning {
    /// Peers that hear of news at once.
    pub fanout: Option<u32>,
    /// Milliseconds between regular comparisons.
    pub interval_ms: Option<u64>,
    /// Milliseconds that news is held back.
    pub linger_ms: Option<u64>,
    /// The largest change that goes out with its announcement, in bytes.
    pub eager_bytes: Option<u64>,
    /// Readers in each failure domain.
    pub readers: Option<u32>,
    /// Percent of peers picked outside of the failure domain.
    pub cross_domain_percent: Option<u32>,
    /// Milliseconds that the platform may hold a watching read.
    pub watch_ms: Option<u64>,
}

impl Tuning {
    /// The settings as a section of YAML, each as one `key: value`.
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
