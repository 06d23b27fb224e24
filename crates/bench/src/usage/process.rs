//! What one process uses.

use std::fs;
use std::path::PathBuf;
use std::time::Duration;

use miette::IntoDiagnostic;
use miette::miette;

use super::stat::Stat;

/// Bytes of a kilobyte as the system counts memory.
const KIB: u64 = 1024;

/// Processor time and resident memory of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessUsage {
    /// Time on a processor since the process started.
    pub cpu: Duration,
    /// Resident memory in bytes.
    pub rss_bytes: u64,
    /// Resident memory in bytes that is no file's, and therefore not shared
    /// with other processes of the same program.
    pub own_bytes: u64,
}

impl ProcessUsage {
    /// What this process uses.
    ///
    /// # Errors
    ///
    /// Fails where the system keeps no such accounts.
    pub fn of_self() -> miette::Result<ProcessUsage> {
        ProcessUsage::read(PathBuf::from("/proc/self"))
    }

    /// What the process `pid` uses.
    ///
    /// # Errors
    ///
    /// Fails if it has ended.
    pub fn of(pid: u32) -> miette::Result<ProcessUsage> {
        ProcessUsage::read(PathBuf::from(format!("/proc/{pid}")))
    }

    fn read(dir: PathBuf) -> miette::Result<ProcessUsage> {
        let status = fs::read_to_string(dir.join("status")).into_diagnostic()?;
        Ok(ProcessUsage {
            cpu: Stat::read(&dir.join("stat"))?.cpu,
            rss_bytes: kib(&status, "VmRSS:")? * KIB,
            own_bytes: kib(&status, "RssAnon:")? * KIB,
        })
    }
}

fn kib(status: &str, field: &str) -> miette::Result<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix(field));
    let number = line.and_then(|rest| rest.split_whitespace().next());
    let parsed = number.and_then(|number| number.parse().ok());
    parsed.ok_or_else(|| miette!("the process's status has no {field}"))
}
