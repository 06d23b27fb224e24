//! The policies that runs compare.

/// The rules that a run follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Policy {
    /// All rules of this crate.
    Full,
    /// Any endpoint, no queue, no retry.
    Naive,
    /// As `Full`, but a lost request is retried.
    RetryUnknown,
    /// As `Full`, but a lost request is reported as not run.
    UnknownAsNotRun,
    /// As `Full`, but a draining target continues to admit requests.
    AdmitWhileDraining,
    /// As `Full`, but a planned stop doesn't wait for running requests.
    StopWithoutWaiting,
    /// As `Full`, but some refusals are not sent to their caller.
    DropRefusals,
}
