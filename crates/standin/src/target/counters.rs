//! Counts the connections and requests of a target.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use serde::Deserialize;
use serde::Serialize;

/// Counts of a target since its first start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetStats {
    /// Slots in use now.
    pub inflight: u64,
    /// Connections open now.
    pub connections: u64,
    /// The maximum number of connections open at the same time.
    pub connections_peak: u64,
    /// Connections over the limit, which were closed on arrival.
    pub connections_refused: u64,
    /// Requests admitted to a slot, including malformed ones.
    pub taken: u64,
    /// Requests refused because no slot was free.
    pub shed: u64,
    /// Requests refused during a cold start.
    pub cold_refused: u64,
    /// Requests refused while draining.
    pub drain_refused: u64,
    /// Requests refused because their head was invalid.
    pub malformed: u64,
    /// Probes of health or load.
    pub probes: u64,
}

/// The counts behind [`TargetStats`].
#[derive(Debug, Default)]
pub(super) struct Counters {
    pub(super) connections: AtomicU64,
    pub(super) connections_peak: AtomicU64,
    pub(super) connections_refused: AtomicU64,
    pub(super) taken: AtomicU64,
    pub(super) shed: AtomicU64,
    pub(super) cold_refused: AtomicU64,
    pub(super) drain_refused: AtomicU64,
    pub(super) malformed: AtomicU64,
    pub(super) probes: AtomicU64,
}

impl Counters {
    /// All counts, with `inflight` slots in use.
    pub(super) fn stats(&self, inflight: u64) -> TargetStats {
        TargetStats {
            inflight,
            connections: get(&self.connections),
            connections_peak: get(&self.connections_peak),
            connections_refused: get(&self.connections_refused),
            taken: get(&self.taken),
            shed: get(&self.shed),
            cold_refused: get(&self.cold_refused),
            drain_refused: get(&self.drain_refused),
            malformed: get(&self.malformed),
            probes: get(&self.probes),
        }
    }
}

/// Increments a counter and returns its new value.
pub(super) fn increment(counter: &AtomicU64) -> u64 {
    counter.fetch_add(1, Ordering::Relaxed) + 1
}

/// The value of a counter.
pub(super) fn get(counter: &AtomicU64) -> u64 {
    counter.load(Ordering::Relaxed)
}
