//! Connections to other nodes: HTTP/2 over few long-lived connections.

mod connection;
mod connections;
mod silence_watch;
mod stall_timer;
#[cfg(test)]
mod tests;

pub(super) use self::connection::SendError;
pub(super) use self::connections::PeerConnections;
