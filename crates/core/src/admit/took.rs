//! How long requests take.

use std::collections::HashMap;
use std::time::Duration;

use crate::Class;
use crate::KindName;

/// The weight of the newest service time in its average, as a shift.
const AVERAGE_SHIFT: u32 = 3;

/// Kinds whose times are kept apart; more share those of their class.
const MAX_KINDS: usize = 256;

/// What a request is, as far as admission tells requests apart.
#[derive(Debug, Clone, Copy)]
pub(super) struct Work {
    pub(super) class: Class,
    kind: Option<usize>,
}

/// Average service times, by kind and by class.
#[derive(Debug, Default)]
pub(super) struct Took {
    of_class: [u64; Class::ALL.len()],
    kinds: HashMap<KindName, usize>,
    /// Zero where nothing of the kind has ended yet.
    of_kind: Vec<u64>,
}

impl Took {
    /// What a request of that class and kind is.
    pub(super) fn work(&mut self, class: Class, kind: Option<&KindName>) -> Work {
        let kind = kind.and_then(|kind| self.index(kind));
        Work { class, kind }
    }

    fn index(&mut self, kind: &KindName) -> Option<usize> {
        if let Some(&held) = self.kinds.get(kind) {
            return Some(held);
        }
        let next = self.of_kind.len();
        if next == MAX_KINDS {
            return None;
        }
        self.kinds.insert(kind.clone(), next);
        self.of_kind.push(0);
        Some(next)
    }

    /// How long such a request takes, by those before it; zero if there was
    /// none.
    pub(super) fn expect(&self, work: Work) -> Duration {
        let of_kind = work.kind.and_then(|kind| self.of_kind.get(kind));
        let of_kind = of_kind.copied().filter(|us| *us > 0);
        Duration::from_micros(of_kind.unwrap_or(self.of_class(work.class)))
    }

    /// The average of a class in microseconds.
    pub(super) fn of_class(&self, class: Class) -> u64 {
        self.of_class[class.index()]
    }

    /// Takes in how long a request took.
    pub(super) fn note(&mut self, work: Work, took: Duration) {
        let us = u64::try_from(took.as_micros()).unwrap_or(u64::MAX >> AVERAGE_SHIFT);
        average(&mut self.of_class[work.class.index()], us);
        if let Some(of_kind) = work.kind.and_then(|kind| self.of_kind.get_mut(kind)) {
            average(of_kind, us);
        }
    }
}

/// Begins at the first value: risen from nothing, an average would promise for
/// the first dozen requests what the target can't keep.
fn average(held: &mut u64, us: u64) {
    *held = match *held {
        0 => us,
        held => held - (held >> AVERAGE_SHIFT) + (us >> AVERAGE_SHIFT),
    };
}
