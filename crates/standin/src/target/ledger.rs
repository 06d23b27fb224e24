//! The ledger of every request that a target admitted to a slot.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use serde::Deserialize;
use serde::Serialize;

use super::clock::Clock;
use super::run::Run;

/// The index of a run in its ledger.
#[derive(Debug, Clone, Copy)]
pub(super) struct RunIndex(usize);

/// Records the runs of a target in the order of admission.
#[derive(Debug)]
pub(super) struct Ledger {
    /// The clock of the timestamps of runs.
    pub(super) clock: Clock,
    max_runs: usize,
    entries: Mutex<LedgerEntries>,
}

/// The entries of a ledger.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct LedgerEntries {
    /// The runs in the order of admission.
    pub runs: Vec<Run>,
    /// The number of runs after the ledger was full; it is complete if this is zero.
    pub unrecorded: u64,
}

impl Ledger {
    /// An empty ledger that keeps at most `max_runs` runs.
    pub(super) fn new(max_runs: usize) -> Ledger {
        Ledger {
            clock: Clock::new(),
            max_runs,
            entries: Mutex::default(),
        }
    }

    /// Records a run; `None` if the ledger is full.
    pub(super) fn record(&self, run: Run) -> Option<RunIndex> {
        let mut entries = self.lock_entries();
        if entries.runs.len() >= self.max_runs {
            entries.unrecorded += 1;
            return None;
        }
        entries.runs.push(run);
        Some(RunIndex(entries.runs.len() - 1))
    }

    /// Updates the entry of a run.
    pub(super) fn update(&self, index: RunIndex, f: impl FnOnce(&mut Run)) {
        f(&mut self.lock_entries().runs[index.0]);
    }

    /// A copy of all entries.
    pub(super) fn copy(&self) -> LedgerEntries {
        self.lock_entries().clone()
    }

    fn lock_entries(&self) -> MutexGuard<'_, LedgerEntries> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
