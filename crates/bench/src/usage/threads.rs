//! What the threads of this process use, by their names.

use std::collections::BTreeMap;
use std::fs;
use std::time::Duration;

use miette::IntoDiagnostic;

use super::stat::Stat;

/// Processor time by thread name; threads of one name are added up.
///
/// A run in one process can so tell the nodes' control threads from the
/// stand-ins and from itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ThreadUsage(BTreeMap<String, Duration>);

impl ThreadUsage {
    /// What the threads that live now have used since they started.
    ///
    /// # Errors
    ///
    /// Fails where the system keeps no such accounts.
    pub fn now() -> miette::Result<ThreadUsage> {
        let mut by_name = BTreeMap::new();
        for entry in fs::read_dir("/proc/self/task").into_diagnostic()? {
            let path = entry.into_diagnostic()?.path().join("stat");
            // A thread may end between listing and reading; it has then no
            // time to account for.
            let Ok(stat) = Stat::read(&path) else {
                continue;
            };
            *by_name.entry(stat.name).or_default() += stat.cpu;
        }
        Ok(ThreadUsage(by_name))
    }

    /// Time of the threads whose name begins with `prefix`.
    pub fn of(&self, prefix: &str) -> Duration {
        let named = self.0.iter().filter(|(name, _)| name.starts_with(prefix));
        named.map(|(_, cpu)| *cpu).sum()
    }
}
