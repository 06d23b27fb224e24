//! Requests that a caller has sent behind one that is still being answered.
//!
//! HTTP/1.1 lets a caller send its next request before the answer to the one
//! before. The library takes them one after the other, so that each would wait
//! for all those before it, though only the answers have to keep that order.
//! Repeatable requests are therefore begun as soon as their head was read, and
//! the library is given what has become of them when it comes to them.

mod head;
mod queue;

pub(super) use self::queue::Ahead;
pub(in crate::traffic) use self::queue::Behind;
