//! The ledger of every request that a target took into a slot.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use serde::Deserialize;
use serde::Serialize;

use super::clock::Clock;
use super::run::Run;

/// The place of a run in its ledger.
#[derive(Debug, Clone, Copy)]
pub(super) struct RunKey(usize);

/// All runs in the order in which they were taken.
#[derive(Debug)]
pub(super) struct Ledger {
    /// Stamps the runs.
    pub(super) clock: Clock,
    most: usize,
    pages: Mutex<LedgerPages>,
}

/// A copy of a ledger.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct LedgerPages {
    /// The runs in the order in which they were taken.
    pub runs: Vec<Run>,
    /// Runs that came after the ledger was full; it is whole if this is zero.
    pub unrecorded: u64,
}

impl Ledger {
    /// An empty ledger that keeps at most `most` runs.
    pub(super) fn new(most: usize) -> Ledger {
        Ledger {
            clock: Clock::new(),
            most,
            pages: Mutex::default(),
        }
    }

    /// Enters a run; `None` if the ledger is full.
    pub(super) fn enter(&self, run: Run) -> Option<RunKey> {
        let mut pages = self.pages();
        if pages.runs.len() >= self.most {
            pages.unrecorded += 1;
            return None;
        }
        pages.runs.push(run);
        Some(RunKey(pages.runs.len() - 1))
    }

    /// Changes an entry.
    pub(super) fn update(&self, key: RunKey, f: impl FnOnce(&mut Run)) {
        f(&mut self.pages().runs[key.0]);
    }

    /// A copy of all entries.
    pub(super) fn copy(&self) -> LedgerPages {
        self.pages().clone()
    }

    fn pages(&self) -> MutexGuard<'_, LedgerPages> {
        self.pages.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
