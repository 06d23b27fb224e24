//! Faults injected into a run: rules that are omitted on purpose.

/// The rule that a run omits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// No rule: the run must have no violation.
    None,
    /// Owners treat their list as in force without a proof.
    LeaseIgnored,
    /// Owners treat their keys as owned since the start of the run.
    OwnershipIgnored,
    /// Owners remove keys whose outcome is unknown.
    UnknownOutcomeForgotten,
    /// Owners remove keys while callers still use them.
    HoldTooShort,
    /// Callers mark every attempt as the first.
    EveryAttemptFirst,
    /// First hops forward refusals of repeats unchanged.
    RepeatReportedNotRun,
}
