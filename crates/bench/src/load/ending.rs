//! How an attempt ended for its caller.

use serde::Deserialize;
use serde::Serialize;

/// The end of one attempt, as its caller saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ending {
    /// The complete answer to the caller's own request.
    Answered,
    /// A refusal with the outcome that the request was not run.
    NotRun,
    /// An answer with the outcome that it is unknown whether the request was run.
    Unknown,
    /// A complete answer with a status other than 200 and without an outcome, such
    /// as a load-shedding answer of the target itself.
    Failed,
    /// A complete answer with status 200 that is too short or belongs to another
    /// request, or whose request didn't arrive complete; an answer whose target sent
    /// a malformed head.
    Wrong,
    /// An answer that began and broke off, visibly to the caller.
    Broken,
    /// No answer began before the connection ended or the caller timed out.
    Silence,
    /// No node accepted a connection, so nothing was sent.
    NotSent,
}
