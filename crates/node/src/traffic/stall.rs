//! Giving up bodies that stand still.

use std::future::Future;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use tokio::time::Instant;
use tokio::time::Sleep;

use super::BoxError;
use super::bounds::STALL_TIMEOUT;

/// Notices when nothing has come for [`STALL_TIMEOUT`].
///
/// A target or peer that was paused, or whose link was cut without a reset,
/// would otherwise hold a slot and a caller for ever. The timer is only made
/// for bodies that have to wait.
#[derive(Debug)]
pub(super) struct Stall(Option<Pin<Box<Sleep>>>);

impl Stall {
    /// Nothing to wait for so far.
    pub(super) fn new() -> Stall {
        Stall(None)
    }

    /// Something came.
    pub(super) fn moved(&mut self) {
        if let Some(sleep) = &mut self.0 {
            sleep.as_mut().reset(Instant::now() + STALL_TIMEOUT);
        }
    }

    /// Ready with the error once nothing has come for too long.
    pub(super) fn poll(&mut self, cx: &mut Context<'_>) -> Poll<BoxError> {
        let sleep = self
            .0
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(STALL_TIMEOUT)));
        let polled = sleep.as_mut().poll(cx);
        polled.map(|()| "the body stood still for too long".into())
    }
}
