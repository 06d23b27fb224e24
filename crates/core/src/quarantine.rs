//! Requests that crash the targets that run them.
//!
//! A request may crash each target that begins to run it, and all that the target runs
//! besides is lost with it. Its callers send it again, through any node, and each copy is
//! another request. What the copies have in common is their [`Content`]. The node beside a
//! target that crashed reports what ran there ([`Sighting::Crashed`]), nodes tell one
//! another, and each counts for itself: what was running in [`CRASHES`] crashes, and was
//! not answered by any target meanwhile, is in quarantine everywhere ([`Verdicts`]).
//!
//! A crash is no proof against any one of the requests that it ended. What tells the
//! harmless from the harmful is that the harmless are answered elsewhere: an answer excuses
//! a request from all crashes before it, and from those shortly after it. Nodes remember
//! what they saw answered and report it ([`Sighting::Answered`]) once somebody has to know.

pub use self::content::Content;
pub use self::content::Fingerprint;
pub(crate) use self::pending_answers::PendingAnswers;
pub use self::report::Report;
pub use self::report::ReportId;
pub use self::report::Sighting;
pub(crate) use self::reports::Reports;
pub use self::verdicts::ANSWER_EXCUSES;
pub use self::verdicts::CRASHES;
pub use self::verdicts::Verdicts;

mod content;
mod observed_at;
mod pending_answers;
mod report;
mod reports;
#[cfg(test)]
mod tests;
mod verdicts;
