//! The log on standard output: bounded, and written without blocking requests.
//!
//! State changes are logged through `tracing`, decisions about requests as
//! [`RequestLine`]s. Both go into one buffer that a dedicated thread writes, so
//! that a stalled reader of the log drops lines and doesn't delay requests. A
//! byte budget per second limits the output; failures may use more of it than
//! successes. Dropped lines are counted, and the counts are logged before the
//! next line.
//!
//! [`RequestLine`]: sassafrasspool_wire::log::RequestLine

mod budget;
mod buffer;
mod request;
mod sink;
mod state_writer;
#[cfg(test)]
mod tests;

pub(crate) use self::budget::Rank;
pub(crate) use self::request::LoggedOutcome;
pub(crate) use self::request::micros;
pub(crate) use self::request::unix_ms;
pub(crate) use self::request::with_outcome;
pub use self::sink::LogSink;
pub(crate) use self::state_writer::StateWriter;
