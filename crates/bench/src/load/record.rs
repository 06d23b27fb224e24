//! The caller's record of one attempt.

use std::net::SocketAddr;
use std::time::Duration;

use sassafrasspool_core::Class;
use serde::Serialize;

use super::ending::Ending;

/// One attempt of a call, as its caller saw it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct CallRecord {
    /// The attempt's request id.
    pub id: String,
    /// The request key that all attempts of its call share, if it has one.
    pub key: Option<String>,
    /// Which attempt it is, from 1.
    pub attempt: u32,
    /// The name of its kind.
    pub kind: &'static str,
    /// Its class.
    pub class: Class,
    /// Weight of its answer.
    pub weight: u32,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// The node that it was sent to, if one accepted a connection.
    pub entry: Option<SocketAddr>,
    /// When it was sent, in microseconds since the Unix epoch.
    pub sent_us: u64,
    /// When it ended for its caller, on the same clock.
    pub ended_us: u64,
    /// From its release until its last byte was received.
    pub latency: Duration,
    /// The status of its answer, if one began.
    pub status: Option<u16>,
    /// How it ended.
    pub ending: Ending,
    /// What went wrong, as text; empty if nothing did.
    pub detail: String,
}
