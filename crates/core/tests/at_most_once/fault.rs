//! Rules that are left out on purpose.

/// Which rule a run leaves out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// None: the run must keep every promise.
    None,
    /// Owners take their list to be in force without proof.
    LeaseIgnored,
    /// Owners take their keys as theirs for all time.
    OwnershipIgnored,
    /// Owners forget keys whose outcome is unknown.
    UnknownOutcomeForgotten,
    /// Owners forget keys sooner than callers do.
    HoldTooShort,
    /// Callers vouch for every attempt as the first.
    EveryAttemptFirst,
    /// First hops hand on refusals of repeats as they are.
    RepeatReportedNotRun,
}
