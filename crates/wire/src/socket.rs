//! Sockets with byte counters and keep-alive.
//!
//! Messages carry more than their content: frames, trace contexts, deadlines. Bytes are
//! counted where the socket is read and written, so that the counts include all of it.

pub use self::bytes::SocketBytes;
pub use self::keep_alive::enable_keep_alive;
pub use self::observed::Counted;
pub use self::observed::Tap;
pub use self::observed::Tapped;

mod bytes;
mod keep_alive;
mod observed;
