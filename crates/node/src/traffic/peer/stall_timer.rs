//! A timer that tolerates stalls of this process.

use std::future::Future;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;
use std::time::Instant;

use hyper::rt::Sleep;
use hyper::rt::Timer;

/// The most by which a timer fires late in a process that isn't short of processor time.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(50);

/// Time allowed for reading what has arrived during a stall.
const READ_GRACE: Duration = Duration::from_millis(200);

/// A timer that extends a sleep by [`READ_GRACE`] if it ends late.
///
/// After a process got no processor time for a while, its timers are due and the data that
/// peers have sent are unread. HTTP/2 checks the timer of a probe first, and would drop the
/// connection although the answer to the probe has arrived.
#[derive(Debug, Clone, Copy)]
pub(super) struct StallTimer;

impl Timer for StallTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        self.sleep_until(Instant::now() + duration)
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn Sleep>> {
        Box::pin(StallSleep {
            deadline,
            is_extended: false,
            sleep: Box::pin(tokio::time::sleep_until(deadline.into())),
        })
    }
}

/// A sleep of a [`StallTimer`].
#[derive(Debug)]
struct StallSleep {
    deadline: Instant,
    is_extended: bool,
    sleep: Pin<Box<tokio::time::Sleep>>,
}

impl Sleep for StallSleep {}

impl Future for StallSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        ready!(self.sleep.as_mut().poll(cx));
        let now = Instant::now();
        if self.is_extended || now < self.deadline + MAX_TIMER_DELAY {
            return Poll::Ready(());
        }
        self.is_extended = true;
        self.sleep.as_mut().reset((now + READ_GRACE).into());
        self.sleep.as_mut().poll(cx)
    }
}
