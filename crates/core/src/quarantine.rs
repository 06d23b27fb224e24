//! Quarantine of requests that crash the targets that run them.
//!
//! A request may crash each target that begins to run it, and every other request that
//! runs on the target is lost with it. Its callers repeat it through any node, and each
//! copy is another request. The copies have the same [`Content`]. The node of a crashed
//! target reports the requests that ran there ([`Sighting::Crashed`]), the reports are
//! disseminated among the nodes, and each node evaluates them for itself: a request that
//! was running in [`CRASHES`] crashes, and was not answered by any target meanwhile, is in
//! quarantine on all nodes ([`Verdicts`]).
//!
//! A crash doesn't prove which of the requests that it ended caused it. Harmless requests
//! are distinguished by being answered elsewhere: after an answer, no crash before it or
//! shortly after it counts against the request. Nodes remember the answers that they saw
//! and report them ([`Sighting::Answered`]) once other nodes need them.

pub use self::content::Content;
pub use self::content::Fingerprint;
pub(crate) use self::pending_answers::PendingAnswers;
pub use self::quarantine_state::ANSWER_EXCUSES;
pub use self::quarantine_state::CRASHES;
pub use self::quarantine_state::Verdicts;
pub use self::report::Report;
pub use self::report::ReportId;
pub use self::report::Sighting;
pub(crate) use self::reports::Reports;

mod content;
mod observed_at;
mod pending_answers;
mod quarantine_state;
mod report;
mod reports;
#[cfg(test)]
mod tests;
