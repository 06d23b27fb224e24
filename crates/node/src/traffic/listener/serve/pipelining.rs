//! Pipelined requests: those that a caller sends before an earlier one is answered.
//!
//! HTTP/1.1 lets a caller send its next request before the answer to the previous one.
//! The HTTP library serves them one after the other, which is head-of-line blocking, though
//! only the answers have to keep the order. Idempotent requests are therefore started as
//! soon as their head is read. The library gets their answers when their turn comes.

mod pipeline;
mod request_head;

pub(in crate::traffic) use self::pipeline::AnswerInProgress;
pub(super) use self::pipeline::Pipeline;
pub(super) use self::request_head::parse_head;
