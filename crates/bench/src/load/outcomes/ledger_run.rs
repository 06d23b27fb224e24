//! A run from a ledger, with the instance that ran it.

use sassafrasspool_standin::target::Run;

/// An entry of a target's ledger.
#[derive(Debug, Clone, PartialEq)]
pub struct LedgerRun {
    /// The number of the instance whose target ran it.
    pub instance: usize,
    /// The entry.
    pub run: Run,
}
