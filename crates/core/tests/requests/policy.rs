//! Who decides.

/// The decisions that a run uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Policy {
    /// All of this crate.
    Full,
    /// Any endpoint, no queue, no retry.
    Naive,
    /// As full, but a lost request is tried again.
    RetryUnknown,
    /// As full, but a lost request is told not to have run.
    UnknownAsNotRun,
    /// As full, but a leaving target goes on to take work.
    DrainTakesWork,
    /// As full, but a planned stop doesn't wait.
    StopAtOnce,
    /// As full, but some refusals never reach their caller.
    RefusalDropped,
}
