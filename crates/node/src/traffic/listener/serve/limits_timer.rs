//! A timer for the heads of requests, which applies the time limits in force.

use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use hyper::rt::Sleep;
use hyper::rt::Timer;
use tokio::time::Instant;

use crate::traffic::bounds::LIMITS_CHECK_INTERVAL;
use crate::traffic::hub::Hub;

/// A timer whose sleeps end when the limits for callers say so, whatever time the HTTP library
/// asks for.
///
/// The library takes the timeout once, when the connection is accepted, whereas the
/// configuration may change while the connection is kept. It counts the wait for the first
/// byte of a request as part of the time for its head, so that the longer of both limits
/// applies.
#[derive(Debug, Clone)]
pub(super) struct LimitsTimer {
    hub: Arc<Hub>,
}

impl LimitsTimer {
    pub(super) fn new(hub: Arc<Hub>) -> LimitsTimer {
        LimitsTimer { hub }
    }

    /// The time limit in force.
    pub(super) fn limit(&self) -> Duration {
        let limits = self.hub.caller_limits();
        limits.idle_timeout.max(limits.head_timeout)
    }
}

impl Timer for LimitsTimer {
    fn sleep(&self, _: Duration) -> Pin<Box<dyn Sleep>> {
        let began = Instant::now();
        let first_check = began + self.limit().min(LIMITS_CHECK_INTERVAL);
        Box::pin(LimitsSleep {
            timer: self.clone(),
            began,
            sleep: Box::pin(tokio::time::sleep_until(first_check)),
        })
    }

    fn sleep_until(&self, _: std::time::Instant) -> Pin<Box<dyn Sleep>> {
        self.sleep(Duration::ZERO)
    }
}

/// A sleep of a [`LimitsTimer`].
struct LimitsSleep {
    timer: LimitsTimer,
    began: Instant,
    sleep: Pin<Box<tokio::time::Sleep>>,
}

impl Sleep for LimitsSleep {}

impl fmt::Debug for LimitsSleep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut debug = f.debug_struct("LimitsSleep");
        debug.field("began", &self.began).finish_non_exhaustive()
    }
}

impl Future for LimitsSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            ready!(self.sleep.as_mut().poll(cx));
            let left = self.timer.limit().saturating_sub(self.began.elapsed());
            if left.is_zero() {
                return Poll::Ready(());
            }
            let next_check = Instant::now() + left.min(LIMITS_CHECK_INTERVAL);
            self.sleep.as_mut().reset(next_check);
        }
    }
}
