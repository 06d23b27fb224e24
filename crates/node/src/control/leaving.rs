//! Why an endpoint leaves.

/// What made an endpoint drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Leaving {
    /// An operator or a signal said so.
    Told,
    /// Another process has taken this one's place.
    Replaced,
}

impl Leaving {
    /// The reason in the audit trail.
    pub(super) const fn reason(self) -> &'static str {
        match self {
            Leaving::Told => "told to leave",
            Leaving::Replaced => "another process has taken this one's place",
        }
    }
}
