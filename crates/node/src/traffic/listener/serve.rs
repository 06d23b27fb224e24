//! Serving the connections that come in.

mod accept;
mod ahead;
mod caller;
mod peer;
mod service;
mod shared_stream;
mod until_closed;

use crate::traffic::outbound::caller_side::Side;

pub(in crate::traffic) use self::accept::accept;
pub(in crate::traffic) use self::accept::bind;
pub(in crate::traffic) use self::ahead::Behind;

/// Who connects to a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::traffic) enum Port {
    /// Callers, by HTTP/1.1 or HTTP/2.
    Caller(Side),
    /// Other nodes, by HTTP/2.
    Peer,
}
