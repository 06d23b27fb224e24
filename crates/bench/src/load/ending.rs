//! How one attempt ended for its caller.

use serde::Deserialize;
use serde::Serialize;

/// What the caller was left with.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ending {
    /// The whole answer to the caller's own request.
    Answered,
    /// A refusal that says that the request was not run.
    NotRun,
    /// An answer that says that nobody knows whether the request was run.
    Unknown,
    /// A whole answer of another status and without an outcome, such as what
    /// the target itself says when it sheds.
    Failed,
    /// A whole answer with success, but short or to another request.
    Wrong,
    /// An answer that began and broke off, which its caller can see.
    Broken,
    /// Nothing came before the connection ended or the caller's patience did.
    Silence,
    /// No node took a connection, so that nothing was ever sent.
    NotSent,
}
