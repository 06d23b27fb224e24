//! Tracks when faults kept nodes from receiving new versions.

use sassafrasspool_bench::chaos::log::unix_now_us;

use crate::verdict::Impairment;

/// When faults kept nodes from receiving new versions. Several faults of one node may
/// overlap.
///
/// # Invariants
///
/// An impairment that hasn't ended has `u64::MAX` as its end.
#[derive(Debug, Default)]
pub(super) struct Impairments(Vec<Impairment>);

impl Impairments {
    /// Begins an impairment of a node. Returns whether the node had no other.
    pub(super) fn begin(&mut self, instance: usize) -> bool {
        let is_first = !self.is_impaired(instance);
        self.0.push(Impairment {
            instance,
            from_us: unix_now_us(),
            to_us: u64::MAX,
        });
        is_first
    }

    /// Ends the oldest impairment of a node, whichever fault ended: the node stays impaired
    /// until the last one has ended. Returns whether none is left.
    pub(super) fn end(&mut self, instance: usize) -> bool {
        let oldest = self.0.iter_mut().find(|it| is_open(it, instance));
        if let Some(oldest) = oldest {
            oldest.to_us = unix_now_us();
        }
        !self.is_impaired(instance)
    }

    /// All impairments, ended or not.
    pub(super) fn all(&self) -> &[Impairment] {
        &self.0
    }

    fn is_impaired(&self, instance: usize) -> bool {
        self.0.iter().any(|it| is_open(it, instance))
    }
}

fn is_open(impairment: &Impairment, instance: usize) -> bool {
    impairment.instance == instance && impairment.to_us == u64::MAX
}
