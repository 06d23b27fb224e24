//! What came of a run.

use sassafrasspool_core::Class;
use sassafrasspool_core::history::Violation;

/// Counts and verdicts of a run.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    pub(crate) offered: u64,
    pub(crate) by_class: [Ends; Class::ALL.len()],
    pub(crate) runs: Vec<usize>,
    pub(crate) violations: Vec<Violation>,
}

/// How the requests of one class ended.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Ends {
    pub(crate) served: u64,
    pub(crate) refused: u64,
    pub(crate) unknown: u64,
}

impl Tally {
    pub(crate) fn served(&self) -> u64 {
        self.by_class.iter().map(|ends| ends.served).sum()
    }

    pub(crate) fn refused(&self) -> u64 {
        self.by_class.iter().map(|ends| ends.refused).sum()
    }

    pub(crate) fn unknown(&self) -> u64 {
        self.by_class.iter().map(|ends| ends.unknown).sum()
    }

    pub(crate) fn share_served(&self, class: Class) -> f64 {
        let ends = self.by_class[class.index()];
        let all = ends.served + ends.refused + ends.unknown;
        ends.served as f64 / all as f64
    }

    pub(crate) fn runs_at(&self, endpoint: usize) -> usize {
        self.runs[endpoint]
    }
}
