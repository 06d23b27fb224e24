//! Aborts bodies that make no progress.

use std::future::Future;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use tokio::time::Instant;
use tokio::time::Sleep;

use super::BoxError;
use super::bounds::STALL_TIMEOUT;

/// Detects that no data has been received for [`STALL_TIMEOUT`].
///
/// A target or peer that was paused, or whose link was cut without a reset, would
/// otherwise occupy a slot and block a caller for ever. The timer is only created
/// for bodies that have to wait.
#[derive(Debug)]
pub(super) struct StallDetector(Option<Pin<Box<Sleep>>>);

impl StallDetector {
    /// A detector without a timer; the first poll creates the timer.
    pub(super) fn new() -> StallDetector {
        StallDetector(None)
    }

    /// Restarts the timeout after data was received.
    pub(super) fn record_progress(&mut self) {
        if let Some(sleep) = &mut self.0 {
            sleep.as_mut().reset(Instant::now() + STALL_TIMEOUT);
        }
    }

    /// Ready with an error once no data has been received for the timeout.
    pub(super) fn poll_stalled(&mut self, cx: &mut Context<'_>) -> Poll<BoxError> {
        let sleep = self
            .0
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(STALL_TIMEOUT)));
        let polled = sleep.as_mut().poll(cx);
        polled.map(|()| "the body made no progress within the stall timeout".into())
    }
}
