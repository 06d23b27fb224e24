//! The task that gives out the outgoing link to large answers.

use std::convert::Infallible;
use std::future;
use std::future::Future;
use std::pin::pin;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use sassafrasspool_core::Link;

use crate::Clock;

/// Grants the link to the answers that wait for it, for as long as the runtime runs.
pub(super) async fn run(link: Link, clock: Clock) -> Infallible {
    let mut sleep = pin!(tokio::time::sleep(Duration::ZERO));
    future::poll_fn(|cx| {
        loop {
            // Woken by the link once another answer waits.
            let Some(next) = link.dispatch(clock.now(), cx.waker()) else {
                return Poll::Pending;
            };
            sleep.as_mut().reset(clock.instant(next).into());
            ready!(sleep.as_mut().poll(cx));
        }
    })
    .await
}
