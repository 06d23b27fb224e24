//! Average sizes of large answers.

use std::collections::HashMap;

use crate::KindName;

/// The size that is assumed of kinds without an answer so far, in bytes.
const DEFAULT_BYTES: u64 = 64 * 1024;

/// The weight of the newest answer in the average, as a right shift.
const AVERAGE_SHIFT: u32 = 4;

/// Maximum number of kinds whose average is kept; others use the average of all.
const MAX_KINDS: usize = 256;

/// The average sizes of answers, by kind.
#[derive(Debug)]
pub(super) struct AnswerSizes {
    kinds: HashMap<KindName, u64>,
    overall: u64,
}

impl AnswerSizes {
    pub(super) fn new() -> AnswerSizes {
        AnswerSizes {
            kinds: HashMap::new(),
            overall: DEFAULT_BYTES,
        }
    }

    /// The expected size of an answer of that kind, in bytes.
    pub(super) fn expected(&self, kind: &KindName) -> u64 {
        self.kinds.get(kind).copied().unwrap_or(self.overall)
    }

    /// The average size of the answers of all kinds, in bytes.
    pub(super) const fn overall(&self) -> u64 {
        self.overall
    }

    /// Adds the size of an answer.
    pub(super) fn record(&mut self, kind: &KindName, bytes: u64) {
        update_average(&mut self.overall, bytes);
        if let Some(average) = self.kinds.get_mut(kind) {
            update_average(average, bytes);
        } else if self.kinds.len() < MAX_KINDS {
            self.kinds.insert(kind.clone(), bytes);
        }
    }
}

fn update_average(average: &mut u64, bytes: u64) {
    *average = *average - (*average >> AVERAGE_SHIFT) + (bytes >> AVERAGE_SHIFT);
}
