//! Lines that wait to be written.

use std::time::Duration;

use sassafrasspool_core::Tick;
use serde::Serialize;

use super::budget::ByteBudget;
use super::budget::Rank;

/// Bytes that wait at most, should nobody read what is written.
const MAX_WAITING: usize = 256 * 1024;

/// Time between two lines that tell what was left out: told with each line, they
/// would use up the budget that was too small for the lines themselves.
const TELL_EVERY: Duration = Duration::from_secs(1);

/// What was left out since that was told last.
#[derive(Debug, Serialize)]
struct LeftOut {
    event: &'static str,
    states: u64,
    failures: u64,
    successes: u64,
}

/// Lines until they are written, with the budget and what didn't fit.
#[derive(Debug)]
pub(super) struct Buffer {
    budget: ByteBudget,
    waiting: Vec<u8>,
    left_out: [u64; Rank::ALL.len()],
    /// When that was told last.
    told: Option<Tick>,
    /// All that was left out since the start, by rank.
    total_left_out: [u64; Rank::ALL.len()],
}

impl Buffer {
    pub(super) fn new(bytes_per_s: u64) -> Buffer {
        Buffer {
            budget: ByteBudget::new(bytes_per_s),
            waiting: Vec::new(),
            left_out: [0; Rank::ALL.len()],
            told: None,
            total_left_out: [0; Rank::ALL.len()],
        }
    }

    /// Adds a line, which `write` appends with its line feed, if there is room.
    pub(super) fn add(&mut self, now: Tick, rank: Rank, write: impl FnOnce(&mut Vec<u8>)) -> bool {
        let room = self.waiting.len() < MAX_WAITING;
        if !room || !self.budget.allows(now, rank) {
            self.left_out[rank as usize] += 1;
            self.total_left_out[rank as usize] += 1;
            return false;
        }
        let before = self.waiting.len();
        self.report_dropped(now);
        write(&mut self.waiting);
        self.budget.take(self.waiting.len() - before);
        true
    }

    fn report_dropped(&mut self, now: Tick) {
        if self.told.is_some_and(|told| now.since(told) < TELL_EVERY) {
            return;
        }
        let [states, failures, successes] = std::mem::take(&mut self.left_out);
        if states + failures + successes == 0 {
            return;
        }
        self.told = Some(now);
        let line = LeftOut {
            event: "lines-left-out",
            states,
            failures,
            successes,
        };
        // Numbers always serialise.
        let _ = serde_json::to_writer(&mut self.waiting, &line);
        self.waiting.push(b'\n');
    }

    /// Takes all lines out.
    pub(super) fn take(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.waiting)
    }

    /// Whether there is nothing to write.
    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// How many lines of each rank were left out since the start.
    pub(super) fn total_left_out(&self) -> [u64; Rank::ALL.len()] {
        self.total_left_out
    }
}
