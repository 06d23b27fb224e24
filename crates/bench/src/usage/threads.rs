//! Processor time of the threads of this process by name.

use std::collections::BTreeMap;
use std::fs;
use std::time::Duration;

use miette::IntoDiagnostic;

use super::stat::Stat;

/// Processor time by thread name, summed over threads of the same name.
///
/// A run with all nodes in this process uses it to measure the nodes' threads
/// apart from those of the stand-ins and of the benchmark itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ThreadUsage(BTreeMap<String, Duration>);

impl ThreadUsage {
    /// Processor time of all running threads since their start.
    ///
    /// # Errors
    ///
    /// Fails where the operating system has no `/proc`.
    pub fn now() -> miette::Result<ThreadUsage> {
        let mut by_name = BTreeMap::new();
        for entry in fs::read_dir("/proc/self/task").into_diagnostic()? {
            let path = entry.into_diagnostic()?.path().join("stat");
            // A thread that ends between listing and reading is left out.
            let Ok(stat) = Stat::read(&path) else {
                continue;
            };
            *by_name.entry(stat.name).or_default() += stat.cpu;
        }
        Ok(ThreadUsage(by_name))
    }

    /// Processor time of the threads whose name begins with `prefix`.
    pub fn cpu_of(&self, prefix: &str) -> Duration {
        let named = self.0.iter().filter(|(name, _)| name.starts_with(prefix));
        named.map(|(_, cpu)| *cpu).sum()
    }
}
