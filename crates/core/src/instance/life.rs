//! One life of a target.

use serde::Deserialize;
use serde::Serialize;

use crate::TargetId;

/// Which start of its target an instance is listed with.
///
/// An instance outlives its targets: one that crashes is followed by another
/// at the same address, perhaps of another service. A request that names the
/// life it was meant for is refused by every other.
///
/// # Example
///
/// ```
/// use sassafrasspool_core::TargetId;
/// use sassafrasspool_core::TargetLife;
///
/// let life = |born| TargetLife {
///     id: TargetId::new("i-1").expect("a name"),
///     listed_at: 7,
///     born,
/// };
/// assert!(life(Some(200)).follows(&life(Some(100))));
/// assert!(!life(Some(100)).follows(&life(Some(200))));
/// assert!(!life(Some(200)).is_same(&life(Some(100))));
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLife {
    /// The name that this start gave itself, which it may have had before.
    pub id: TargetId,
    /// The platform's count at which it was first listed; the later one of two
    /// at one address is the one that runs.
    pub listed_at: u64,
    /// The Unix millisecond of its start, where targets tell it: starts of one
    /// name differ by it alone.
    #[serde(default)]
    pub born: Option<u64>,
}

impl TargetLife {
    /// Whether this is the same start of the same target, although perhaps
    /// listed anew after its entry had lapsed.
    pub fn is_same(&self, other: &TargetLife) -> bool {
        self.id == other.id && self.born == other.born
    }

    /// Takes the place of the life that was `held` last, unless it is the same.
    /// Returns whether another one ended by it.
    ///
    /// # Example
    ///
    /// ```
    /// use sassafrasspool_core::TargetId;
    /// use sassafrasspool_core::TargetLife;
    ///
    /// let life = |name| TargetLife {
    ///     id: TargetId::new(name).expect("a name"),
    ///     listed_at: 7,
    ///     born: None,
    /// };
    /// let mut held = None;
    /// assert!(!life("i-1").replaces(&mut held));
    /// assert!(!life("i-1").replaces(&mut held));
    /// assert!(life("i-2").replaces(&mut held));
    /// ```
    pub fn replaces(&self, held: &mut Option<TargetLife>) -> bool {
        if held.as_ref().is_some_and(|held| held.is_same(self)) {
            return false;
        }
        held.replace(self.clone()).is_some()
    }

    /// Whether this one began no earlier than `held`, a life at the same place
    /// or of the same name.
    ///
    /// Of two starts of one name the clock of their instance tells which is
    /// later, since their entry may never have lapsed between them. Targets
    /// of other names may come from other clocks: there the platform's count
    /// decides.
    pub fn follows(&self, held: &TargetLife) -> bool {
        match (self.born, held.born) {
            (Some(born), Some(before)) if self.id == held.id => born >= before,
            _ => self.listed_at >= held.listed_at,
        }
    }
}
