//! Which life of a target answers in place of one that has ended.

#[cfg(test)]
mod tests;

/// What a node has seen of the lives of the target beside it.
///
/// All power is lost, targets start again under new names, and the platform goes
/// away before their entries are read: requests name lives that have ended, and
/// targets turned 4,308 of 12,742 of them away as meant for another, for 10 s. A
/// target that declines a request says which life it is, and its node may name
/// that one instead, as long as it is sure that the target still serves the same
/// service.
///
/// It is sure while nothing of the life that was asked for was ever seen by this
/// process: its settings, which name the service, are then of a time after that
/// life. Where the ended life did answer here, the address may since belong to a
/// target of another service, and the request is declined as before.
///
/// # Example
///
/// ```
/// use sassafrasspool_core::Succession;
///
/// let mut lives = Succession::default();
/// assert_eq!(lives.meant(&"t-1"), &"t-1");
/// lives.declined(&"t-1", &"t-2");
/// assert_eq!(lives.meant(&"t-1"), &"t-2");
/// ```
#[derive(Debug)]
pub struct Succession<L> {
    /// The life that answered a request last.
    answered: Option<L>,
    /// A life that has ended, and the one that answers in its place.
    ended: Option<(L, L)>,
}

impl<L: Clone + PartialEq> Succession<L> {
    /// Notes that a life answered a request as its own.
    pub fn answered(&mut self, life: &L) {
        if self.answered.as_ref() != Some(life) {
            self.answered = Some(life.clone());
        }
    }

    /// Notes that `answering` declined a request that named the life `named`.
    /// Returns whether that is news on which the next request goes.
    pub fn declined(&mut self, named: &L, answering: &L) -> bool {
        if self.answered.as_ref() == Some(named) || named == answering {
            self.ended = None;
            return false;
        }
        let ended = Some((named.clone(), answering.clone()));
        let is_news = self.ended != ended;
        self.ended = ended;
        is_news
    }

    /// The life to name in a request that is meant for `asked`.
    pub fn meant<'a>(&'a self, asked: &'a L) -> &'a L {
        match &self.ended {
            Some((ended, answering)) if ended == asked => answering,
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
