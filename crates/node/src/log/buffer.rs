//! The buffer of lines that are not written yet.

use std::time::Duration;

use sassafrasspool_core::Tick;
use serde::Serialize;

use super::budget::ByteBudget;
use super::budget::Rank;

/// Maximum bytes of pending lines, reached when the log's output isn't read.
const MAX_PENDING_BYTES: usize = 256 * 1024;

/// Minimum time between two lines that report dropped lines. Written before each
/// line, such reports would use up the budget that was too small for the lines
/// themselves.
const DROP_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The number of lines dropped since the last such report, by rank.
#[derive(Debug, Serialize)]
struct DroppedLines {
    event: &'static str,
    states: u64,
    failures: u64,
    successes: u64,
}

/// Pending lines, the byte budget, and the counts of dropped lines.
#[derive(Debug)]
pub(super) struct Buffer {
    budget: ByteBudget,
    pending: Vec<u8>,
    /// Lines dropped since the last report, by rank.
    dropped: [u64; Rank::ALL.len()],
    /// When dropped lines were reported last.
    reported_at: Option<Tick>,
    /// Lines dropped since the start, by rank.
    total_dropped: [u64; Rank::ALL.len()],
}

impl Buffer {
    pub(super) fn new(bytes_per_s: u64) -> Buffer {
        Buffer {
            budget: ByteBudget::new(bytes_per_s),
            pending: Vec::new(),
            dropped: [0; Rank::ALL.len()],
            reported_at: None,
            total_dropped: [0; Rank::ALL.len()],
        }
    }

    /// Adds a line, which `write` appends with its line feed, if the buffer and the
    /// budget allow it; returns whether it was added.
    pub(super) fn add(&mut self, now: Tick, rank: Rank, write: impl FnOnce(&mut Vec<u8>)) -> bool {
        let has_room = self.pending.len() < MAX_PENDING_BYTES;
        if !has_room || !self.budget.allows(now, rank) {
            self.dropped[rank as usize] += 1;
            self.total_dropped[rank as usize] += 1;
            return false;
        }
        let len_before = self.pending.len();
        self.report_dropped(now);
        write(&mut self.pending);
        self.budget.consume(self.pending.len() - len_before);
        true
    }

    fn report_dropped(&mut self, now: Tick) {
        if self
            .reported_at
            .is_some_and(|at| now.since(at) < DROP_REPORT_INTERVAL)
        {
            return;
        }
        let [states, failures, successes] = std::mem::take(&mut self.dropped);
        if states + failures + successes == 0 {
            return;
        }
        self.reported_at = Some(now);
        let line = DroppedLines {
            event: "lines-left-out",
            states,
            failures,
            successes,
        };
        // Serialising integers can't fail.
        let _ = serde_json::to_writer(&mut self.pending, &line);
        self.pending.push(b'\n');
    }

    /// Removes and returns all pending lines.
    pub(super) fn take(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.pending)
    }

    /// Whether no line is pending.
    pub(super) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// The number of lines dropped since the start, by rank.
    pub(super) fn total_dropped(&self) -> [u64; Rank::ALL.len()] {
        self.total_dropped
    }
}
