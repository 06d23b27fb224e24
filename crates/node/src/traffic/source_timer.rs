//! Bounds the time for which an answer waits for its source.

use std::future::Future;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::Sleep;

use super::bounds::MIN_BODY_TIME;
use super::bounds::STALL_TIMEOUT;

/// The time for which an answer may wait for its target or for another node.
///
/// A target that falls silent in the middle of an answer, or adds bytes to it without end,
/// would otherwise occupy a slot and block a caller long after the deadline of the request.
/// Only waits for the source count: while the caller accepts no bytes, the source isn't late.
#[derive(Debug)]
pub(super) struct SourceTimer {
    /// Time that is left for all further waits.
    left: Duration,
    waiting_since: Option<Instant>,
    /// Only created for bodies that have to wait.
    sleep: Option<Pin<Box<Sleep>>>,
}

impl SourceTimer {
    /// A timer for a source that has `left` until the deadline of its request.
    pub(super) fn new(left: Duration) -> SourceTimer {
        SourceTimer {
            left: left.max(MIN_BODY_TIME),
            waiting_since: None,
            sleep: None,
        }
    }

    /// Ends a wait, because the source provided something or isn't waited for.
    pub(super) fn stop_waiting(&mut self) {
        if let Some(since) = self.waiting_since.take() {
            self.left = self.left.saturating_sub(since.elapsed());
        }
    }

    /// Begins or continues a wait. Ready once the source has used up its time.
    pub(super) fn poll_elapsed(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.waiting_since.is_none() {
            let now = Instant::now();
            self.waiting_since = Some(now);
            let until = now + self.left.min(STALL_TIMEOUT);
            match &mut self.sleep {
                Some(sleep) => sleep.as_mut().reset(until),
                None => self.sleep = Some(Box::pin(tokio::time::sleep_until(until))),
            }
        }
        match &mut self.sleep {
            Some(sleep) => sleep.as_mut().poll(cx),
            None => Poll::Pending,
        }
    }
}
