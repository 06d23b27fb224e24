//! An entry of the ledger.

use sassafrasspool_core::KindName;
use serde::Deserialize;
use serde::Serialize;

/// A request that was admitted to a slot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The request id, or one that the target generated.
    pub id: String,
    /// The idempotency key, if the request had one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// The requested path.
    pub path: String,
    /// The kind that determined the service time.
    pub kind: Option<KindName>,
    /// The number of the target's start that ran it, from 1.
    pub incarnation: u32,
    /// When the work began, or when the request's head was received if the work
    /// never began, in microseconds since the Unix epoch.
    pub started_us: u64,
    /// When the run ended, on the same clock.
    pub ended_us: Option<u64>,
    /// Whether the work was completed, so that its effect is in force.
    pub finished: bool,
    /// The status of the answer, if there was one.
    pub status: Option<u16>,
    /// The length of the request body in bytes.
    pub received_bytes: u64,
    /// How the run ended, or its current state.
    pub end: RunEnd,
}

impl Run {
    /// Whether the work began, so that the request may have had an effect.
    pub fn began(&self) -> bool {
        !matches!(self.end, RunEnd::Receiving | RunEnd::RequestCut)
    }
}

/// How a run ended, or its current state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunEnd {
    /// The request body is being received; the work hasn't begun.
    Receiving,
    /// The work is in progress.
    Running,
    /// The work is done; the answer isn't completely handed to the connection yet.
    Answering,
    /// The work was done and the complete answer was handed to the connection.
    Finished,
    /// The request body was never completely received; the work didn't begin.
    RequestCut,
    /// The caller disconnected during the work.
    Cancelled,
    /// The request's timeout expired during the work.
    TimedOut,
    /// The target crashed during the work.
    Crashed,
    /// The work was done, but only part of the answer was handed to the connection.
    AnswerCut,
    /// The work was done, and the target never answers.
    Hung,
}
