//! Serving the connections that come in.

mod accept;
mod ahead;
mod caller;
mod peer;
mod service;
mod until_closed;

use super::caller_side::Side;

pub(super) use self::accept::accept;
pub(super) use self::accept::bind;
pub(super) use self::ahead::Behind;

/// Who connects to a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Port {
    /// Callers, by HTTP/1.1 or HTTP/2.
    Caller(Side),
    /// Other nodes, by HTTP/2.
    Peer,
}
