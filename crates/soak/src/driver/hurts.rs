//! What keeps nodes from following.

use sassafrasspool_bench::chaos::log::now_us;

use crate::verdict::Hurt;

/// When something kept a node from following; several things may overlap.
///
/// # Invariants
///
/// What goes on has the last time that there is as its end.
#[derive(Debug, Default)]
pub(super) struct Hurts(Vec<Hurt>);

impl Hurts {
    /// Something begins to keep a node from following; whether nothing else does.
    pub(super) fn begin(&mut self, instance: usize) -> bool {
        let is_first = !self.goes_on(instance);
        self.0.push(Hurt {
            instance,
            from_us: now_us(),
            to_us: u64::MAX,
        });
        is_first
    }

    /// Ends the oldest of what keeps a node from following, whichever it was: until the
    /// last has ended, something does. Whether nothing does any more.
    pub(super) fn end(&mut self, instance: usize) -> bool {
        let oldest = self.0.iter_mut().find(|hurt| is_open(hurt, instance));
        if let Some(oldest) = oldest {
            oldest.to_us = now_us();
        }
        !self.goes_on(instance)
    }

    /// All of them.
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
