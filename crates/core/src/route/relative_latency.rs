//! The latency of an endpoint relative to others of its service.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::KindName;

/// The weight of the newest answer in a kind's average, as a right shift.
const KIND_SHIFT: u32 = 6;

/// The weight of the newest answer in an endpoint's relative latency, as a right shift.
const ENDPOINT_SHIFT: u32 = 3;

/// The fixed-point ratio of an endpoint that is as fast as others.
const RATIO_ONE: u32 = 256;

/// The least and the greatest ratio that one answer counts for.
const RATIO_BOUNDS: [u32; 2] = [RATIO_ONE / 4, RATIO_ONE * 8];

/// Maximum number of kinds whose average latencies are kept.
const MAX_KINDS: usize = 1_024;

/// Average latencies of a service's answers in microseconds, by kind.
#[derive(Debug, Default)]
pub(super) struct KindLatencies(Mutex<HashMap<KindName, u64>>);

impl KindLatencies {
    /// The ratio of an answer's latency to the average of its kind, in units of which
    /// [`RATIO_ONE`] is 1; nothing for the first answer of a kind. The latency is added to the
    /// average.
    pub(super) fn ratio(&self, kind: &KindName, took: Duration) -> Option<u32> {
        let us = u64::try_from(took.as_micros())
            .unwrap_or(u64::MAX >> 8)
            .max(1);
        // An average is consistent after each change, so that a poisoned lock is usable.
        let mut averages = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(average) = averages.get_mut(kind) else {
            if averages.len() < MAX_KINDS {
                averages.insert(kind.clone(), us);
            }
            return None;
        };
        let ratio = us.saturating_mul(u64::from(RATIO_ONE)) / *average;
        // A slow endpoint must not raise the average that it is compared with.
        let counted = us.min(average.saturating_mul(2));
        *average = (*average - (*average >> KIND_SHIFT) + (counted >> KIND_SHIFT)).max(1);
        let ratio = u32::try_from(ratio).unwrap_or(u32::MAX);
        Some(ratio.clamp(RATIO_BOUNDS[0], RATIO_BOUNDS[1]))
    }
}

/// The average latency ratio of one endpoint: 1 if it is as fast as others, 2 if it takes
/// twice as long.
#[derive(Debug)]
pub(super) struct RelativeLatency(AtomicU32);

impl Default for RelativeLatency {
    fn default() -> RelativeLatency {
        RelativeLatency(AtomicU32::new(RATIO_ONE))
    }
}

impl RelativeLatency {
    /// Adds the ratio of one answer. Threads that race may lose one.
    pub(super) fn record(&self, ratio: u32) {
        let held = self.0.load(Ordering::Relaxed);
        let newer = held - (held >> ENDPOINT_SHIFT) + (ratio >> ENDPOINT_SHIFT);
        self.0.store(newer, Ordering::Relaxed);
    }

    /// The ratio as a factor.
    pub(super) fn ratio(&self) -> f32 {
        self.0.load(Ordering::Relaxed) as f32 / RATIO_ONE as f32
    }

    /// Resets the ratio for a new process.
    pub(super) fn reset(&self) {
        self.0.store(RATIO_ONE, Ordering::Relaxed);
    }
}
