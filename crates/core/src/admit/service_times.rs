//! Average and shortest service times of requests.

use std::collections::HashMap;
use std::time::Duration;

use crate::Class;
use crate::KindName;

/// The weight of the newest service time in its average, as a right shift.
const AVERAGE_SHIFT: u32 = 3;

/// Kinds whose service times are averaged apart; further kinds use the average of their
/// class.
const MAX_KINDS: usize = 256;

/// Service times of one type from which the shortest is determined at least. The first ones
/// may all include the same delay.
const MIN_SHORTEST_COUNT: u32 = 16;

/// What admission control distinguishes requests by.
#[derive(Debug, Clone, Copy)]
pub(super) struct WorkType {
    pub(super) class: Class,
    kind: Option<usize>,
}

/// The shortest of some service times.
#[derive(Debug, Clone, Copy, Default)]
struct Shortest {
    time: Duration,
    count: u32,
}

/// Average and shortest service times, by kind and by class.
#[derive(Debug, Default)]
pub(super) struct ServiceTimes {
    /// By class and index of the kind.
    shortest: HashMap<(Class, Option<usize>), Shortest>,
    class_means_us: [u64; Class::ALL.len()],
    kinds: HashMap<KindName, usize>,
    /// Zero until a request of the kind has ended.
    kind_means_us: Vec<u64>,
}

impl ServiceTimes {
    /// The work type of a request of that class and kind.
    pub(super) fn work_type(&mut self, class: Class, kind: Option<&KindName>) -> WorkType {
        let kind = kind.and_then(|kind| self.kind_index(kind));
        WorkType { class, kind }
    }

    fn kind_index(&mut self, kind: &KindName) -> Option<usize> {
        if let Some(&held) = self.kinds.get(kind) {
            return Some(held);
        }
        let next = self.kind_means_us.len();
        if next == MAX_KINDS {
            return None;
        }
        self.kinds.insert(kind.clone(), next);
        self.kind_means_us.push(0);
        Some(next)
    }

    /// The expected service time, from the requests before; zero if there was none.
    pub(super) fn expected(&self, work: WorkType) -> Duration {
        let of_kind = work.kind.and_then(|kind| self.kind_means_us.get(kind));
        let of_kind = of_kind.copied().filter(|us| *us > 0);
        Duration::from_micros(of_kind.unwrap_or(self.class_mean_us(work.class)))
    }

    /// The average service time of a class in microseconds.
    pub(super) fn class_mean_us(&self, class: Class) -> u64 {
        self.class_means_us[class.index()]
    }

    /// The shortest service time of a request of that type so far; zero until
    /// [`MIN_SHORTEST_COUNT`] have ended.
    pub(super) fn shortest(&self, work: WorkType) -> Duration {
        let shortest = self.shortest.get(&(work.class, work.kind));
        let shortest = shortest.filter(|it| it.count >= MIN_SHORTEST_COUNT);
        shortest.map_or(Duration::ZERO, |it| it.time)
    }

    /// Adds the service time of a request.
    pub(super) fn record(&mut self, work: WorkType, took: Duration) {
        let shortest = self.shortest.entry((work.class, work.kind));
        let shortest = shortest.or_default();
        shortest.time = match shortest.count {
            0 => took,
            _ => took.min(shortest.time),
        };
        shortest.count = shortest.count.saturating_add(1);
        let us = u64::try_from(took.as_micros()).unwrap_or(u64::MAX >> AVERAGE_SHIFT);
        update_average(&mut self.class_means_us[work.class.index()], us);
        if let Some(of_kind) = work.kind.and_then(|kind| self.kind_means_us.get_mut(kind)) {
            update_average(of_kind, us);
        }
    }
}

/// Starts at the first value. An average that rises from zero would be too low for the first
/// dozen requests, which would then be promised waits that the target can't keep.
fn update_average(average_us: &mut u64, us: u64) {
    *average_us = match *average_us {
        0 => us,
        held => held - (held >> AVERAGE_SHIFT) + (us >> AVERAGE_SHIFT),
    };
}
