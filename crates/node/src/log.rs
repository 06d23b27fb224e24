//! Log lines on standard output, bounded, and never in the way of a request.
//!
//! Changes of state come through `tracing`, what is decided about requests as
//! [`RequestLine`]s. Both go into one buffer that a thread of its own writes: a
//! reader that stands still costs lines and not requests. Each second has a
//! budget of bytes, of which failures may use more than successes; what is left
//! out is counted and told with the next line.
//!
//! [`RequestLine`]: sassafrasspool_wire::log::RequestLine

mod budget;
mod buffer;
mod request;
mod sink;
#[cfg(test)]
mod tests;
mod writer;

pub(crate) use self::budget::Rank;
pub(crate) use self::request::Told;
pub(crate) use self::request::micros;
pub(crate) use self::request::unix_ms;
pub(crate) use self::request::with_outcome;
pub use self::sink::LogSink;
pub(crate) use self::writer::StateWriter;
