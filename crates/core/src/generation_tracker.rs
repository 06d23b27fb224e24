//! Redirection of requests from an ended generation of a target to its successor.

use std::time::Duration;

use crate::Tick;

#[cfg(test)]
mod tests;

/// The generations of the local target that a node has observed.
///
/// After a power loss, targets may restart under new names while the platform is
/// unavailable, so that their new entries can't be read. Requests then name ended
/// generations, and targets decline them as meant for another generation until the
/// platform is back. A target that declines a request returns its own generation. Its
/// node may name that generation instead if the target certainly still serves the
/// same service.
///
/// Two conditions ensure that. First, the requested generation has never answered a
/// request of this process, so the node's settings, which name the service, are newer
/// than that generation. Second, requests for it have been declined for two seconds:
/// if the address was reassigned to a target of another service, the settings name
/// that service by then, and requests for the former service no longer reach this
/// target.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use sassafrasspool_core::GenerationTracker;
/// use sassafrasspool_core::Tick;
///
/// let mut generations = GenerationTracker::default();
/// generations.record_declined(Tick::ZERO, &"t-1", &"t-2");
/// assert_eq!(generations.resolve(Tick::ZERO, &"t-1"), &"t-1");
/// let later = Tick::ZERO + Duration::from_secs(2);
/// assert_eq!(generations.resolve(later, &"t-1"), &"t-2");
/// ```
#[derive(Debug)]
pub struct GenerationTracker<G> {
    /// The generation that most recently answered a request that named it.
    last_answered: Option<G>,
    ended: Option<EndedGeneration<G>>,
}

/// A generation that has ended.
#[derive(Debug)]
struct EndedGeneration<G> {
    generation: G,
    /// The generation that answers in its place.
    successor: G,
    /// When the successor first declined a request for the ended generation.
    since: Tick,
}

/// How long a generation must have declined requests before it is named in place of the
/// requested one. A node checks its settings every second, so twice that time is enough
/// to find out that its target serves another service.
const MIN_DECLINED_TIME: Duration = Duration::from_secs(2);

impl<G: Clone + PartialEq> GenerationTracker<G> {
    /// Records that a generation answered a request that named it.
    pub fn record_answered(&mut self, generation: &G) {
        if self.last_answered.as_ref() != Some(generation) {
            self.last_answered = Some(generation.clone());
        }
    }

    /// Records that `answering` declined a request for the generation `named`.
    /// Returns whether this pair was not recorded before.
    pub fn record_declined(&mut self, now: Tick, named: &G, answering: &G) -> bool {
        if self.last_answered.as_ref() == Some(named) || named == answering {
            self.ended = None;
            return false;
        }
        let recorded = self.ended.as_ref();
        if recorded.is_some_and(|it| it.generation == *named && it.successor == *answering) {
            return false;
        }
        self.ended = Some(EndedGeneration {
            generation: named.clone(),
            successor: answering.clone(),
            since: now,
        });
        true
    }

    /// The generation to name in a request that is meant for `requested`.
    pub fn resolve<'a>(&'a self, now: Tick, requested: &'a G) -> &'a G {
        match &self.ended {
            Some(ended)
                if ended.generation == *requested
                    && now.since(ended.since) >= MIN_DECLINED_TIME =>
            {
                &ended.successor
            }
            _ => requested,
        }
    }
}

impl<G> Default for GenerationTracker<G> {
    fn default() -> GenerationTracker<G> {
        GenerationTracker {
            last_answered: None,
            ended: None,
        }
    }
}
