//! Processor time and memory of a process.

use std::fs;
use std::path::PathBuf;
use std::time::Duration;

use miette::IntoDiagnostic;
use miette::miette;

use super::stat::Stat;

/// Bytes of the unit in which `/proc` reports memory.
const BYTES_PER_KIB: u64 = 1024;

/// Processor time and resident memory of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessUsage {
    /// Processor time since the process started.
    pub cpu: Duration,
    /// Resident memory in bytes.
    pub rss_bytes: u64,
    /// Anonymous resident memory in bytes, which is not backed by a file and
    /// therefore not shared with other processes of the same program.
    pub anonymous_bytes: u64,
}

impl ProcessUsage {
    /// Usage of this process.
    ///
    /// # Errors
    ///
    /// Fails where the operating system has no `/proc`.
    pub fn of_self() -> miette::Result<ProcessUsage> {
        ProcessUsage::read(PathBuf::from("/proc/self"))
    }

    /// Usage of the process `pid`.
    ///
    /// # Errors
    ///
    /// Fails if the process has ended.
    pub fn of(pid: u32) -> miette::Result<ProcessUsage> {
        ProcessUsage::read(PathBuf::from(format!("/proc/{pid}")))
    }

    fn read(dir: PathBuf) -> miette::Result<ProcessUsage> {
        let status = fs::read_to_string(dir.join("status")).into_diagnostic()?;
        Ok(ProcessUsage {
            cpu: Stat::read(&dir.join("stat"))?.cpu,
            rss_bytes: kib_field(&status, "VmRSS:")? * BYTES_PER_KIB,
            anonymous_bytes: kib_field(&status, "RssAnon:")? * BYTES_PER_KIB,
        })
    }
}

fn kib_field(status: &str, field: &str) -> miette::Result<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix(field));
    let number = line.and_then(|rest| rest.split_whitespace().next());
    let parsed = number.and_then(|number| number.parse().ok());
    parsed.ok_or_else(|| miette!("the process status file has no field {field}"))
}
