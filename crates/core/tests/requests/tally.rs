//! Results of a run.

use sassafrasspool_core::Class;
use sassafrasspool_core::history::Violation;

/// Counts and violations of a run.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    pub(crate) offered: u64,
    pub(crate) by_class: [ClassCounts; Class::ALL.len()],
    pub(crate) runs: Vec<usize>,
    pub(crate) violations: Vec<Violation>,
}

/// How the requests of one class ended.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct ClassCounts {
    pub(crate) served: u64,
    pub(crate) refused: u64,
    pub(crate) unknown: u64,
}

impl Tally {
    pub(crate) fn served(&self) -> u64 {
        self.by_class.iter().map(|counts| counts.served).sum()
    }

    pub(crate) fn refused(&self) -> u64 {
        self.by_class.iter().map(|counts| counts.refused).sum()
    }

    pub(crate) fn unknown(&self) -> u64 {
        self.by_class.iter().map(|counts| counts.unknown).sum()
    }

    pub(crate) fn share_served(&self, class: Class) -> f64 {
        let counts = self.by_class[class.index()];
        let all = counts.served + counts.refused + counts.unknown;
        counts.served as f64 / all as f64
    }

    pub(crate) fn runs_at(&self, endpoint: usize) -> usize {
        self.runs[endpoint]
    }
}
