//! Tracks when faults kept nodes from receiving new versions.

use sassafrasspool_bench::chaos::log::now_us;

use crate::verdict::Hurt;

/// When faults kept nodes from receiving new versions. Several faults of one node may
/// overlap.
///
/// # Invariants
///
/// An impairment that hasn't ended has `u64::MAX` as its end.
#[derive(Debug, Default)]
pub(super) struct Hurts(Vec<Hurt>);

impl Hurts {
    /// Begins an impairment of a node. Returns whether the node had no other.
    pub(super) fn begin(&mut self, instance: usize) -> bool {
        let is_first = !self.goes_on(instance);
        self.0.push(Hurt {
            instance,
            from_us: now_us(),
            to_us: u64::MAX,
        });
        is_first
    }

    /// Ends the oldest impairment of a node, whichever fault ended: the node stays impaired
    /// until the last one has ended. Returns whether none is left.
    pub(super) fn end(&mut self, instance: usize) -> bool {
        let oldest = self.0.iter_mut().find(|hurt| is_open(hurt, instance));
        if let Some(oldest) = oldest {
            oldest.to_us = now_us();
        }
        !self.goes_on(instance)
    }

    /// All impairments, ended or not.
    pub(super) fn all(&self) -> &[Hurt] {
        &self.0
    }

    fn goes_on(&self, instance: usize) -> bool {
        self.0.iter().any(|hurt| is_open(hurt, instance))
    }
}

fn is_open(hurt: &Hurt, instance: usize) -> bool {
    hurt.instance == instance && hurt.to_us == u64::MAX
}
