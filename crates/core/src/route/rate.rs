//! An event rate.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::Tick;

/// Length in microseconds of the window over which events are counted.
const WINDOW_US: u64 = 1_000_000;

/// Bits of a packed count.
const COUNT_BITS: u32 = 16;

const MAX_COUNT: u64 = (1 << COUNT_BITS) - 1;

/// Events a second, over the last second.
///
/// Threads that race may lose an event.
#[derive(Debug, Default)]
pub(super) struct Rate {
    /// The number of the window, the count in the window before, and the count in it.
    packed: AtomicU64,
}

#[derive(Debug, Clone, Copy)]
struct Counts {
    window: u64,
    previous: u64,
    current: u64,
}

impl Rate {
    /// Counts one event.
    pub(super) fn record(&self, now: Tick) {
        let mut counts = self.counts(now);
        counts.current = (counts.current + 1).min(MAX_COUNT);
        let packed =
            (counts.window << (2 * COUNT_BITS)) | (counts.previous << COUNT_BITS) | counts.current;
        self.packed.store(packed, Ordering::Relaxed);
    }

    /// The events of the last second. The part that lies in the window before is estimated.
    pub(super) fn per_s(&self, now: Tick) -> f32 {
        let counts = self.counts(now);
        let passed = (now.as_micros() % WINDOW_US) as f32 / WINDOW_US as f32;
        counts.previous as f32 * (1.0 - passed) + counts.current as f32
    }

    fn counts(&self, now: Tick) -> Counts {
        let packed = self.packed.load(Ordering::Relaxed);
        let held = Counts {
            window: packed >> (2 * COUNT_BITS),
            previous: (packed >> COUNT_BITS) & MAX_COUNT,
            current: packed & MAX_COUNT,
        };
        let window = now.as_micros() / WINDOW_US;
        match window.saturating_sub(held.window) {
            0 => held,
            1 => Counts {
                window,
                previous: held.current,
                current: 0,
            },
            _ => Counts {
                window,
                previous: 0,
                current: 0,
            },
        }
    }
}
