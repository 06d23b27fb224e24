//! Why an endpoint drains.

/// Why the endpoint began to drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DrainCause {
    /// An operator or a signal requested it.
    Requested,
    /// Another process now runs for the same instance.
    Replaced,
}

impl DrainCause {
    /// The reason in the audit trail.
    pub(super) const fn reason(self) -> &'static str {
        match self {
            DrainCause::Requested => "told to leave",
            DrainCause::Replaced => "another process has taken this one's place",
        }
    }
}
