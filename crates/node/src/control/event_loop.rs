//! Runs the control driver until a condition holds.

use std::time::Duration;

use sassafrasspool_core::Event;
use sassafrasspool_core::Tick;
use tokio::sync::mpsc;
use tokio::time::sleep_until;
use tokio_util::sync::CancellationToken;

use super::ControlDriver;
use super::ControlEvent;

/// The most events that are handled before their changes are published.
const MAX_BATCH_EVENTS: usize = 64;

/// The longest sleep of the loop. It keeps the published age of the contact
/// with the platform current.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// The control driver with its event queue.
#[derive(Debug)]
pub(super) struct EventLoop {
    /// The driver that handles the events.
    pub(super) driver: ControlDriver,
    rx: mpsc::Receiver<ControlEvent>,
    cancel: CancellationToken,
}

/// Why the event loop returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LoopExit {
    /// The condition holds.
    ConditionMet,
    /// The deadline has passed and the condition doesn't hold.
    TimedOut,
    /// The node is to stop at once.
    Cancelled,
}

/// How long the event loop runs, and how often it checks its condition.
#[derive(Debug, Clone, Copy)]
pub(super) struct RunLimit {
    /// When the loop returns although its condition doesn't hold, if ever.
    pub(super) deadline: Option<Tick>,
    /// The longest time between two checks of a condition that no event
    /// reports.
    pub(super) poll_interval: Duration,
}

impl RunLimit {
    /// No deadline.
    pub(super) const NONE: RunLimit = RunLimit {
        deadline: None,
        poll_interval: MAX_SLEEP,
    };
}

impl EventLoop {
    pub(super) fn new(
        driver: ControlDriver,
        rx: mpsc::Receiver<ControlEvent>,
        cancel: CancellationToken,
    ) -> EventLoop {
        EventLoop { driver, rx, cancel }
    }

    /// Handles events until `condition` holds, the deadline passes or the node
    /// is cancelled.
    pub(super) async fn run(
        &mut self,
        limit: RunLimit,
        condition: impl Fn(&ControlDriver) -> bool,
    ) -> LoopExit {
        loop {
            let faults = self.driver.context().fault_injector.clone();
            self.cancel
                .run_until_cancelled(faults.wait_while_paused())
                .await;
            if condition(&self.driver) {
                return LoopExit::ConditionMet;
            }
            let now = self.driver.now();
            if limit.deadline.is_some_and(|deadline| deadline <= now) {
                return LoopExit::TimedOut;
            }
            let wakeup = self.next_wakeup(now, limit);
            tokio::select! {
                biased;
                () = self.cancel.cancelled() => return LoopExit::Cancelled,
                Some(event) = self.rx.recv() => self.handle_batch(event),
                () = sleep_until(wakeup.into()) => {}
            }
            if self.driver.next_wakeup() <= self.driver.now() {
                self.driver.handle_spread_event(Event::Wakeup);
            }
            self.driver.publish();
        }
    }

    /// Handles `first` and the events queued behind it, up to the batch size.
    fn handle_batch(&mut self, first: ControlEvent) {
        self.driver.handle_control_event(first);
        for _ in 1..MAX_BATCH_EVENTS {
            let Ok(event) = self.rx.try_recv() else {
                return;
            };
            self.driver.handle_control_event(event);
        }
    }

    fn next_wakeup(&self, now: Tick, limit: RunLimit) -> std::time::Instant {
        let mut wakeup = self.driver.next_wakeup().min(now + limit.poll_interval);
        if let Some(deadline) = limit.deadline {
            wakeup = wakeup.min(deadline);
        }
        self.driver.context().shared.clock().instant(wakeup)
    }
}
