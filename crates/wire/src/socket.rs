//! Bytes as the sockets see them.
//!
//! Messages carry more than their content: frames, trace contexts, deadlines.
//! The bytes are counted where they are read and written, so that all of it
//! shows.

pub use self::bytes::SocketBytes;
pub use self::keep_alive::keep_alive;
pub use self::tapped::Counted;
pub use self::tapped::Tap;
pub use self::tapped::Tapped;

mod bytes;
mod keep_alive;
mod tapped;
