//! Records how long the processes of a run waited for a processor.

use std::collections::HashMap;
use std::fs;
use std::path::Path;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use sassafrasspool_bench::chaos::log::unix_now_us;
use sassafrasspool_core::InstanceId;
use serde::Serialize;
use tokio::time::Instant;

#[cfg(test)]
mod tests;

/// The time between two samples.
const INTERVAL: Duration = Duration::from_millis(500);

/// The processor time of one process between two samples, summed over its threads.
#[derive(Debug, Serialize)]
pub(crate) struct ProcessorSample {
    /// The end of the interval, in microseconds since the epoch.
    at_us: u64,
    /// The name of its settings or job file without the extension; `soak` for this process,
    /// which carries all links.
    process: String,
    interval_ms: u64,
    run_ms: u64,
    /// How long threads that could run waited for a processor.
    wait_ms: u64,
    /// The most that a single thread ran and waited. A thread for which this is the whole
    /// interval had more to do than it got done.
    busiest_thread_ms: u64,
    /// The most memory that the process had resident since its start, in KiB.
    peak_kib: u64,
}

/// Time that a thread ran, and that it waited for a processor.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct ThreadTime {
    run: Duration,
    wait: Duration,
}

impl ThreadTime {
    /// Parses a `schedstat` file: nanoseconds run, nanoseconds waited, time slices.
    fn parse(text: &str) -> Option<ThreadTime> {
        let mut fields = text.split_ascii_whitespace();
        let mut next = || Some(Duration::from_nanos(fields.next()?.parse().ok()?));
        Some(ThreadTime {
            run: next()?,
            wait: next()?,
        })
    }

    fn since(self, before: ThreadTime) -> ThreadTime {
        ThreadTime {
            run: self.run.saturating_sub(before.run),
            wait: self.wait.saturating_sub(before.wait),
        }
    }
}

/// Samples this process and its child processes until it is dropped.
///
/// A process that ends between two samples lacks its last one.
pub(crate) async fn record_processor_time(samples: &Mutex<Vec<ProcessorSample>>) {
    let mut before: HashMap<u32, HashMap<u32, ThreadTime>> = HashMap::new();
    let mut sampled_at = Instant::now();
    loop {
        tokio::time::sleep(INTERVAL).await;
        let interval = sampled_at.elapsed();
        sampled_at = Instant::now();
        let mut now = HashMap::new();
        for (pid, process) in own_processes() {
            let threads = read_threads(pid);
            if let Some(before) = before.get(&pid) {
                let mut sample = ProcessorSample::between(process, interval, before, &threads);
                sample.peak_kib = status_number(pid, "VmHWM:").unwrap_or(0);
                let mut samples = samples.lock().unwrap_or_else(PoisonError::into_inner);
                samples.push(sample);
            }
            now.insert(pid, threads);
        }
        before = now;
    }
}

impl ProcessorSample {
    fn between(
        process: String,
        interval: Duration,
        before: &HashMap<u32, ThreadTime>,
        after: &HashMap<u32, ThreadTime>,
    ) -> ProcessorSample {
        let start = |tid| before.get(tid).copied().unwrap_or_default();
        let spent = after.iter().map(|(tid, time)| time.since(start(tid)));
        let spent: Vec<ThreadTime> = spent.collect();
        let busiest = spent.iter().map(|it| it.run + it.wait).max();
        ProcessorSample {
            at_us: unix_now_us(),
            process,
            interval_ms: millis(interval),
            run_ms: millis(spent.iter().map(|it| it.run).sum()),
            wait_ms: millis(spent.iter().map(|it| it.wait).sum()),
            busiest_thread_ms: millis(busiest.unwrap_or_default()),
            peak_kib: 0,
        }
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// This process and its child processes, by process id, with their names.
fn own_processes() -> Vec<(u32, String)> {
    let own = std::process::id();
    let mut found = vec![(own, "soak".to_owned())];
    found.extend(numbered_entries(Path::new("/proc")).filter_map(|pid| {
        if status_number(pid, "PPid:") != Some(own.into()) {
            return None;
        }
        let args = fs::read_to_string(format!("/proc/{pid}/cmdline")).ok()?;
        let file = args.split('\0').rfind(|arg| !arg.is_empty())?;
        let name = Path::new(file).file_stem()?.to_str()?;
        Some((pid, name.to_owned()))
    }));
    found
}

/// The number in a field of the status file of a process.
fn status_number(pid: u32, field: &str) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let value = status.lines().find_map(|line| line.strip_prefix(field))?;
    value.split_ascii_whitespace().next()?.parse().ok()
}

/// The intervals in which a process waited for a processor for more than half of the time, in
/// microseconds since the epoch.
pub(crate) fn waits_us(samples: &Mutex<Vec<ProcessorSample>>) -> Vec<(u64, u64)> {
    let samples = samples.lock().unwrap_or_else(PoisonError::into_inner);
    let waited = samples.iter().filter(|it| 2 * it.wait_ms > it.interval_ms);
    let interval = |it: &ProcessorSample| (it.at_us - 1_000 * it.interval_ms, it.at_us);
    waited.map(interval).collect()
}

/// The most memory that one of these nodes had resident, in KiB.
pub(crate) fn peak_kib(samples: &Mutex<Vec<ProcessorSample>>, nodes: &[InstanceId]) -> u64 {
    let samples = samples.lock().unwrap_or_else(PoisonError::into_inner);
    let is_node = |it: &&ProcessorSample| nodes.iter().any(|id| id.as_str() == it.process);
    let peaks = samples.iter().filter(is_node).map(|it| it.peak_kib);
    peaks.max().unwrap_or(0)
}

/// The times of the threads of a process by thread id; empty if it has ended.
fn read_threads(pid: u32) -> HashMap<u32, ThreadTime> {
    let dir = format!("/proc/{pid}/task");
    let threads = numbered_entries(Path::new(&dir)).filter_map(|tid| {
        let text = fs::read_to_string(format!("{dir}/{tid}/schedstat")).ok()?;
        Some((tid, ThreadTime::parse(&text)?))
    });
    threads.collect()
}

/// The entries of a directory whose names are numbers; none if it can't be read.
fn numbered_entries(dir: &Path) -> impl Iterator<Item = u32> {
    let entries = fs::read_dir(dir).into_iter().flatten().flatten();
    entries.filter_map(|entry| entry.file_name().to_str()?.parse().ok())
}
