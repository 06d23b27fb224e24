//! Sockets with byte counters and keep-alive.
//!
//! Messages carry more than their content: frames, trace contexts, deadlines. Bytes are
//! counted where the socket is read and written, so that the counts include all of it.

pub use self::bytes::SocketBytes;
pub use self::keep_alive::enable_keep_alive;
pub use self::observed::CountedStream;
pub use self::observed::IoObserver;
pub use self::observed::Observed;
pub use self::observed::ServerStream;

mod bytes;
mod keep_alive;
mod observed;
