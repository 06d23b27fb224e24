//! Messages between nodes: a `tarpc` service of one method over TCP.
//!
//! The method carries packed messages. They are bounded in size and compressed if that
//! makes them smaller. They are decoded inside the method, so that a message that doesn't
//! decode is answered by a refusal and the connection stays open.

pub use self::backoff::Backoff;
pub use self::connection::ExchangeError;
pub use self::connection::PeerConnection;
pub use self::handler::PeerHandler;
pub use self::limits::PeerLimits;
pub use self::packed::MAX_MESSAGE_BYTES;
pub use self::packed::Packed;
pub use self::pool::PeerPool;
pub use self::server::PeerServer;
pub use self::service::Peer;
pub use self::service::PeerClient;

mod backoff;
mod connection;
mod handler;
mod limits;
mod packed;
mod pool;
mod server;
mod service;
#[cfg(test)]
mod tests;
mod transport;
