//! Generations of a target.

use serde::Deserialize;
use serde::Serialize;

use crate::Revision;
use crate::TargetId;

/// One generation of a target, which is one start of its process.
///
/// An instance outlives the generations of its target: after a crash, another
/// generation starts at the same address, possibly of another service. A request
/// that names its intended generation is rejected by every other generation.
///
/// # Example
///
/// ```
/// use sassafrasspool_core::Revision;
/// use sassafrasspool_core::TargetGeneration;
/// use sassafrasspool_core::TargetId;
///
/// let generation = |started_ms| TargetGeneration {
///     id: TargetId::new("i-1").expect("a name"),
///     listed_revision: Revision::new(7).expect("a revision"),
///     started_ms,
/// };
/// assert!(generation(Some(200)).is_not_older_than(&generation(Some(100))));
/// assert!(!generation(Some(100)).is_not_older_than(&generation(Some(200))));
/// assert!(!generation(Some(200)).is_same(&generation(Some(100))));
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetGeneration {
    /// The name that the target reported; an earlier generation may have had the same.
    pub id: TargetId,
    /// The platform's revision at which the generation was first listed. Of two
    /// generations at one address, the one with the higher revision is running.
    #[serde(rename = "listed_at")]
    pub listed_revision: Revision,
    /// Start time in milliseconds since 1970, if the target reports it. Generations
    /// with the same name differ only in this time.
    #[serde(default, rename = "born")]
    pub started_ms: Option<u64>,
}

impl TargetGeneration {
    /// Whether both are the same generation of the same target. It may have been
    /// listed again after its entry had expired.
    pub fn is_same(&self, other: &TargetGeneration) -> bool {
        self.id == other.id && self.started_ms == other.started_ms
    }

    /// Stores this generation in `stored` unless `stored` already is the same generation.
    /// Returns whether it replaced another generation, which has ended.
    ///
    /// # Example
    ///
    /// ```
    /// use sassafrasspool_core::Revision;
    /// use sassafrasspool_core::TargetGeneration;
    /// use sassafrasspool_core::TargetId;
    ///
    /// let generation = |name| TargetGeneration {
    ///     id: TargetId::new(name).expect("a name"),
    ///     listed_revision: Revision::new(7).expect("a revision"),
    ///     started_ms: None,
    /// };
    /// let mut stored = None;
    /// assert!(!generation("i-1").replace_held(&mut stored));
    /// assert!(!generation("i-1").replace_held(&mut stored));
    /// assert!(generation("i-2").replace_held(&mut stored));
    /// ```
    pub fn replace_held(&self, stored: &mut Option<TargetGeneration>) -> bool {
        if stored.as_ref().is_some_and(|stored| stored.is_same(self)) {
            return false;
        }
        stored.replace(self.clone()).is_some()
    }

    /// Whether this generation started no earlier than `stored`, a generation at the
    /// same address or with the same name.
    ///
    /// Two generations with the same name are ordered by the clock of their instance,
    /// since their entry may not have expired between the two starts. Targets with
    /// different names may use different clocks, so the platform's revision decides.
    pub fn is_not_older_than(&self, stored: &TargetGeneration) -> bool {
        match (self.started_ms, stored.started_ms) {
            (Some(started), Some(before)) if self.id == stored.id => started >= before,
            _ => self.listed_revision >= stored.listed_revision,
        }
    }
}
