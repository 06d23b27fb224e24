//! How often something happens.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::Tick;

/// Microseconds in the span over which events are counted.
const SPAN_US: u64 = 1_000_000;

/// Bits of a count.
const COUNT_BITS: u32 = 16;

const MAX_COUNT: u64 = (1 << COUNT_BITS) - 1;

/// Events a second, over the last second.
///
/// Threads that race may lose an event.
#[derive(Debug, Default)]
pub(super) struct Rate {
    /// The number of the span, the count in the span before it, and the count in it.
    packed: AtomicU64,
}

#[derive(Debug, Clone, Copy)]
struct Counts {
    span: u64,
    before: u64,
    within: u64,
}

impl Rate {
    /// Counts one event.
    pub(super) fn note(&self, now: Tick) {
        let mut counts = self.counts(now);
        counts.within = (counts.within + 1).min(MAX_COUNT);
        let packed =
            (counts.span << (2 * COUNT_BITS)) | (counts.before << COUNT_BITS) | counts.within;
        self.packed.store(packed, Ordering::Relaxed);
    }

    /// The events of the last second, of which the part in the span before is estimated.
    pub(super) fn per_s(&self, now: Tick) -> f32 {
        let counts = self.counts(now);
        let passed = (now.as_micros() % SPAN_US) as f32 / SPAN_US as f32;
        counts.before as f32 * (1.0 - passed) + counts.within as f32
    }

    fn counts(&self, now: Tick) -> Counts {
        let packed = self.packed.load(Ordering::Relaxed);
        let held = Counts {
            span: packed >> (2 * COUNT_BITS),
            before: (packed >> COUNT_BITS) & MAX_COUNT,
            within: packed & MAX_COUNT,
        };
        let span = now.as_micros() / SPAN_US;
        match span.saturating_sub(held.span) {
            0 => held,
            1 => Counts {
                span,
                before: held.within,
                within: 0,
            },
            _ => Counts {
                span,
                before: 0,
                within: 0,
            },
        }
    }
}
