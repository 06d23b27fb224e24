//! Costs of a fleet over a period of time.

use std::ops::AddAssign;
use std::time::Duration;
use std::time::Instant;

use sassafrasspool_wire::admin::ControlStats;

use crate::control_fleet::ControlFleet;

/// Counters of a fleet at one time.
#[derive(Debug, Clone, Copy)]
pub(super) struct CounterSnapshot {
    at: Instant,
    stats: ControlStats,
    cpu: Duration,
    source_reads: u64,
}

/// Costs between two marks.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Cost {
    /// Length of the period, in seconds.
    pub(super) seconds: f64,
    /// Control bytes of all nodes, read and written.
    pub(super) bytes: f64,
    /// Messages of all nodes, sent and received.
    pub(super) messages: f64,
    /// Processor time of all nodes in microseconds.
    pub(super) cpu_us: f64,
    /// Platform reads, as counted by the platform.
    pub(super) source_reads: u64,
}

impl CounterSnapshot {
    pub(super) fn now(fleet: &ControlFleet) -> miette::Result<CounterSnapshot> {
        Ok(CounterSnapshot {
            at: Instant::now(),
            stats: fleet.control_stats(),
            cpu: fleet.cpu_time()?,
            source_reads: fleet.platform().stats().reads,
        })
    }

    /// Costs from this mark to a later one.
    pub(super) fn cost_until(&self, later: &CounterSnapshot) -> Cost {
        let bytes = |stats: &ControlStats| stats.bytes_in + stats.bytes_out;
        let cpu = later.cpu.saturating_sub(self.cpu);
        Cost {
            seconds: later.at.duration_since(self.at).as_secs_f64(),
            bytes: (bytes(&later.stats) - bytes(&self.stats)) as f64,
            messages: (later.stats.messages - self.stats.messages) as f64,
            cpu_us: cpu.as_secs_f64() * 1e6,
            source_reads: later.source_reads - self.source_reads,
        }
    }
}

impl Cost {
    /// The part of `figure` beyond that of an idle fleet over the same time.
    pub(super) fn beyond_idle(&self, idle: &Cost, figure: impl Fn(&Cost) -> f64) -> f64 {
        let idle_part = figure(idle) / idle.seconds * self.seconds;
        (figure(self) - idle_part).max(0.0)
    }
}

impl AddAssign for Cost {
    fn add_assign(&mut self, rhs: Cost) {
        self.seconds += rhs.seconds;
        self.bytes += rhs.bytes;
        self.messages += rhs.messages;
        self.cpu_us += rhs.cpu_us;
        self.source_reads += rhs.source_reads;
    }
}
