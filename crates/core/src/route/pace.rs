//! How fast an endpoint is beside others of its service.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::KindName;

/// The weight of the newest answer in a kind's average, as a shift.
const KIND_SHIFT: u32 = 6;

/// The weight of the newest answer in an endpoint's pace, as a shift.
const PACE_SHIFT: u32 = 3;

/// The pace of an endpoint that is as fast as others.
const MEAN_PACE: u32 = 256;

/// The least and the greatest pace that one answer counts for.
const BOUNDS: [u32; 2] = [MEAN_PACE / 4, MEAN_PACE * 8];

/// Kinds whose times are kept.
const MAX_KINDS: usize = 1_024;

/// What answers of a service take, by kind.
#[derive(Debug, Default)]
pub(super) struct KindTimes(Mutex<HashMap<KindName, u64>>);

impl KindTimes {
    /// How long an answer took, as a part of what others of its kind take; it
    /// goes into their average.
    pub(super) fn ratio(&self, kind: &KindName, took: Duration) -> Option<u32> {
        let us = u64::try_from(took.as_micros())
            .unwrap_or(u64::MAX >> 8)
            .max(1);
        // An average is whole after each change.
        let mut held = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(average) = held.get_mut(kind) else {
            if held.len() < MAX_KINDS {
                held.insert(kind.clone(), us);
            }
            return None;
        };
        let ratio = us.saturating_mul(u64::from(MEAN_PACE)) / *average;
        // A slow endpoint must not raise the mark that it is judged by.
        let counted = us.min(average.saturating_mul(2));
        *average = (*average - (*average >> KIND_SHIFT) + (counted >> KIND_SHIFT)).max(1);
        let ratio = u32::try_from(ratio).unwrap_or(u32::MAX);
        Some(ratio.clamp(BOUNDS[0], BOUNDS[1]))
    }
}

/// The pace of one endpoint: 1 if it is as fast as others, 2 if it takes twice
/// as long.
#[derive(Debug)]
pub(super) struct Pace(AtomicU32);

impl Default for Pace {
    fn default() -> Pace {
        Pace(AtomicU32::new(MEAN_PACE))
    }
}

impl Pace {
    /// Takes in the ratio of one answer. Threads that race may lose one.
    pub(super) fn note(&self, ratio: u32) {
        let held = self.0.load(Ordering::Relaxed);
        let newer = held - (held >> PACE_SHIFT) + (ratio >> PACE_SHIFT);
        self.0.store(newer, Ordering::Relaxed);
    }

    /// The pace as a factor.
    pub(super) fn factor(&self) -> f32 {
        self.0.load(Ordering::Relaxed) as f32 / MEAN_PACE as f32
    }

    /// Forgets it, as for a new process.
    pub(super) fn reset(&self) {
        self.0.store(MEAN_PACE, Ordering::Relaxed);
    }
}
