//! Bytes as the sockets see them.
//!
//! Messages carry more than their content: frames, trace contexts, deadlines.
//! The bytes are counted where they are read and written, so that all of it
//! shows.

pub use self::bytes::SocketBytes;
pub use self::counted::Counted;
pub use self::keep_alive::keep_alive;

mod bytes;
mod counted;
mod keep_alive;
