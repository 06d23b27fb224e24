//! A run with the place where it ran.

use sassafrasspool_standin::target::Run;

/// An entry of a target's ledger.
#[derive(Debug, Clone, PartialEq)]
pub struct LedgerRun {
    /// The number of the instance whose target it was.
    pub instance: usize,
    /// The entry.
    pub run: Run,
}
