//! A timer that allows for stalls of this process.

use std::future::Future;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;
use std::time::Instant;

use hyper::rt::Sleep;
use hyper::rt::Timer;

/// How late a timer may fire in a process that has its turns.
const LATE: Duration = Duration::from_millis(50);

/// How long what has arrived during a stall may take to be read.
const READ_WITHIN: Duration = Duration::from_millis(200);

/// A timer whose sleeps last a little longer if they end late.
///
/// A process that had no processor for a while finds its timers due and what peers have
/// sent meanwhile unread. HTTP/2 looks at the timer of a probe first, and would drop the
/// connection although the answer to the probe is there.
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
        if self.is_extended || now < self.deadline + LATE {
            return Poll::Ready(());
        }
        self.is_extended = true;
        self.sleep.as_mut().reset((now + READ_WITHIN).into());
        self.sleep.as_mut().poll(cx)
    }
}
