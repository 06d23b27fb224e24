//! One entry of the ledger.

use sassafrasspool_core::KindName;
use serde::Deserialize;
use serde::Serialize;

/// A request that was taken into a slot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The request id, or one that the target made up.
    pub id: String,
    /// The idempotency key, if the request had one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// The path that was asked for.
    pub path: String,
    /// The kind that decided its service time.
    pub kind: Option<KindName>,
    /// Which start of the target ran it, from 1.
    pub incarnation: u32,
    /// When the work began, or the request's head came if it never began, in
    /// microseconds since the Unix epoch.
    pub started_us: u64,
    /// When it came to its end, on the same clock.
    pub ended_us: Option<u64>,
    /// Whether the work was done to its end, so that its effect is in force.
    pub finished: bool,
    /// The status of the answer, if there was one.
    pub status: Option<u16>,
    /// Bytes of the request's body.
    pub received_bytes: u64,
    /// How it ended.
    pub end: RunEnd,
}

impl Run {
    /// Whether the work began, so that the request may have had an effect.
    pub fn began(&self) -> bool {
        !matches!(self.end, RunEnd::Receiving | RunEnd::RequestCut)
    }
}

/// How a run ended, or how far it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunEnd {
    /// Its request body is still coming in; the work hasn't begun.
    Receiving,
    /// Its work is under way.
    Running,
    /// The work is done, the answer not yet handed over.
    Answering,
    /// The work was done and the whole answer handed to the connection.
    Finished,
    /// The request body never came whole; the work didn't begin.
    RequestCut,
    /// The caller hung up during the work.
    Cancelled,
    /// The request's time was over during the work.
    TimedOut,
    /// The target crashed during the work.
    Crashed,
    /// The work was done, but not all of the answer was handed over.
    AnswerCut,
    /// The work was done, and the target never answers.
    Hung,
}
