//! What passes between a node and others: messages of nodes to one another,
//! reads of the platform, the headers of requests and the answers of the
//! admin address.
//!
//! Nothing is decided here. Whatever comes in is bounded in size and checked
//! in shape before it reaches a decision, and an error names the step and the
//! peer.

pub mod admin;
mod chain;
pub mod header;
pub mod log;
pub mod peer;
pub mod platform;
mod socket;
mod unfold;

pub use crate::chain::error_chain;
pub use crate::socket::Counted;
pub use crate::socket::SocketBytes;
pub use crate::socket::Tap;
pub use crate::socket::Tapped;
pub use crate::socket::keep_alive;
