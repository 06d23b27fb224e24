//! The record of a run.

use super::Event;
use crate::Tick;

/// One event with its time on the clock of the run.
#[derive(Debug, Clone)]
pub struct Record {
    /// When it happened.
    pub at: Tick,
    /// What happened.
    pub event: Event,
}

/// All records of a run.
#[derive(Debug, Clone, Default)]
pub struct History {
    records: Vec<Record>,
}

impl History {
    /// An empty history.
    pub fn new() -> History {
        History::default()
    }

    /// Adds an event. The order of calls only matters within one tick.
    pub fn record(&mut self, at: Tick, event: Event) {
        self.records.push(Record { at, event });
    }

    /// Adds all records of another history with the same clock.
    pub fn merge(&mut self, other: History) {
        self.records.extend(other.records);
    }

    /// The number of events.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no events.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The records ordered by time.
    pub fn in_order(&self) -> Vec<&Record> {
        let mut ordered: Vec<&Record> = self.records.iter().collect();
        ordered.sort_by_key(|record| record.at);
        ordered
    }
}
