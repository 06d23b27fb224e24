//! Monitors whether the platform answers reads.

use sassafrasspool_core::SourceResult;
use sassafrasspool_core::Stream;

use crate::dependency_monitor::AvailabilityChange;
use crate::dependency_monitor::DependencyMonitor;

/// Whether the platform answers reads. Each stream is monitored separately,
/// because one can fail while the other is answered.
#[derive(Debug)]
pub(crate) struct SourceMonitor {
    catalogue: DependencyMonitor,
    instances: DependencyMonitor,
}

impl SourceMonitor {
    /// A monitor that assumes that the platform answers.
    pub(crate) const fn new() -> SourceMonitor {
        SourceMonitor {
            catalogue: DependencyMonitor::new("platform"),
            instances: DependencyMonitor::new("platform"),
        }
    }

    /// Records the result of a read.
    pub(super) fn record_read(
        &self,
        stream: Stream,
        result: &SourceResult,
    ) -> Option<AvailabilityChange> {
        let monitor = match stream {
            Stream::Catalogue => &self.catalogue,
            Stream::Instances => &self.instances,
        };
        match result {
            SourceResult::Failed { reason } => {
                tracing::debug!(%stream, reason, "a read of the platform failed");
                monitor.record_failure(stream, reason)
            }
            _ => monitor.record_success(stream),
        }
    }
}
