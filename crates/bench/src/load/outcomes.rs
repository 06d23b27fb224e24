//! Derives the outcome of the calls from callers' records and targets' ledgers.

pub use self::joined_records::JoinedRecords;
pub use self::joined_records::count_outcomes;
pub use self::ledger_run::LedgerRun;
pub use self::outage::Outage;
pub use self::outage::OutageKind;
pub use self::verdict::KindCount;
pub use self::verdict::Verdict;

mod joined_records;
mod ledger_run;
mod outage;
mod verdict;
