//! Protocols of a node: messages between nodes, reads of the platform, request headers,
//! the request log and the JSON types of the admin address.
//!
//! This crate makes no decisions. Everything received is bounded in size and checked in
//! shape before a decision uses it. Errors name the step and the peer.

pub mod admin;
mod decompress;
mod error_chain;
pub mod header;
pub mod log;
pub mod peer;
pub mod platform;
mod response_head;
mod socket;

pub use crate::error_chain::error_chain;
pub use crate::response_head::LineEndings;
pub use crate::response_head::MalformedHead;
pub use crate::response_head::validate_response_head;
pub use crate::socket::CountedStream;
pub use crate::socket::IoObserver;
pub use crate::socket::Observed;
pub use crate::socket::ServerStream;
pub use crate::socket::SocketBytes;
pub use crate::socket::enable_keep_alive;
