//! Which life of a target answers in place of one that has ended.

use std::time::Duration;

use crate::Tick;

#[cfg(test)]
mod tests;

/// What a node has seen of the lives of the target beside it.
///
/// All power is lost, targets start again under new names, and the platform goes
/// away before their entries are read: requests name lives that have ended, and
/// targets turn them away as meant for another, for as long as the platform is. A
/// target that declines a request says which life it is, and its node may name
/// that one instead, as long as it is sure that the target still serves the same
/// service.
///
/// It is sure of that on two conditions. Nothing of the life that was asked for was
/// ever seen by this process, so that its settings, which name the service, are of a
/// later time. And it has been declined for two seconds: if the address has gone to a
/// target of another service, the settings say so by then, and requests for the former
/// service aren't put under this any more.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use sassafrasspool_core::Succession;
/// use sassafrasspool_core::Tick;
///
/// let mut lives = Succession::default();
/// lives.declined(Tick::ZERO, &"t-1", &"t-2");
/// assert_eq!(lives.meant(Tick::ZERO, &"t-1"), &"t-1");
/// let settled = Tick::ZERO + Duration::from_secs(2);
/// assert_eq!(lives.meant(settled, &"t-1"), &"t-2");
/// ```
#[derive(Debug)]
pub struct Succession<L> {
    /// The life that answered a request last.
    answered: Option<L>,
    ended: Option<Ended<L>>,
}

/// A life that has ended.
#[derive(Debug)]
struct Ended<L> {
    life: L,
    /// The one that answers in its place.
    answering: L,
    /// Since when that is known.
    since: Tick,
}

/// How long a life must have declined requests before it is named in place of the one
/// that was asked for: a node looks at its settings every second, and twice that is
/// enough for it to hear that its target serves something else.
const SETTLED: Duration = Duration::from_secs(2);

impl<L: Clone + PartialEq> Succession<L> {
    /// Notes that a life answered a request as its own.
    pub fn answered(&mut self, life: &L) {
        if self.answered.as_ref() != Some(life) {
            self.answered = Some(life.clone());
        }
    }

    /// Notes that `answering` declined a request that named the life `named`.
    /// Returns whether that is news.
    pub fn declined(&mut self, now: Tick, named: &L, answering: &L) -> bool {
        if self.answered.as_ref() == Some(named) || named == answering {
            self.ended = None;
            return false;
        }
        let held = self.ended.as_ref();
        if held.is_some_and(|held| held.life == *named && held.answering == *answering) {
            return false;
        }
        self.ended = Some(Ended {
            life: named.clone(),
            answering: answering.clone(),
            since: now,
        });
        true
    }

    /// The life to name in a request that is meant for `asked`.
    pub fn meant<'a>(&'a self, now: Tick, asked: &'a L) -> &'a L {
        match &self.ended {
            Some(ended) if ended.life == *asked && now.since(ended.since) >= SETTLED => {
                &ended.answering
            }
            _ => asked,
        }
    }
}

impl<L> Default for Succession<L> {
    fn default() -> Succession<L> {
        Succession {
            answered: None,
            ended: None,
        }
    }
}
