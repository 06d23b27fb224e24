//! Serves accepted connections.

mod accept;
mod caller;
mod graceful_close;
mod late_request;
mod limits_timer;
mod peer;
mod pipelining;
mod service;
mod shared_stream;

use crate::traffic::outbound::caller_side::CallerPort;

pub(in crate::traffic) use self::accept::accept;
pub(in crate::traffic) use self::accept::bind;
pub(in crate::traffic) use self::pipelining::AnswerInProgress;

/// Which clients connect to a listener, and by which protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::traffic) enum Port {
    /// Callers, by HTTP/1.1 or HTTP/2.
    Caller(CallerPort),
    /// Other nodes, by HTTP/2.
    Peer,
}
