//! Quarantine of requests that crash the targets that run them.
//!
//! A request may crash each target that begins to run it, and every other request that
//! runs on the target is lost with it. Its callers repeat it through any node, and each
//! copy is another request. The copies have the same [`Content`]. The node of a crashed
//! target reports the requests that ran there ([`Observation::Crashed`]), the reports are
//! disseminated among the nodes, and each node evaluates them for itself: a request that
//! was running in [`CRASHES_TO_QUARANTINE`] crashes, and was not answered by any target
//! meanwhile, is in quarantine on all nodes ([`QuarantineState`]).
//!
//! A crash doesn't prove which of the requests that it ended caused it. Harmless requests
//! are distinguished by being answered elsewhere: after an answer, no crash before it or
//! shortly after it counts against the request. Nodes remember the answers that they saw
//! and report them ([`Observation::Answered`]) once other nodes need them.

pub use self::content::Content;
pub use self::content::Fingerprint;
pub(crate) use self::pending_answers::PendingAnswers;
pub use self::quarantine_state::ANSWER_EXEMPTION;
pub use self::quarantine_state::CRASHES_TO_QUARANTINE;
pub use self::quarantine_state::QuarantineDecision;
pub use self::quarantine_state::QuarantineState;
pub use self::report::Observation;
pub use self::report::Report;
pub use self::report::ReportId;
pub(crate) use self::reports::Reports;

mod content;
mod observed_at;
mod pending_answers;
mod quarantine_state;
mod report;
mod reports;
#[cfg(test)]
mod tests;
