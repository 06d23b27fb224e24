//! Running the machine until something has come true.

use std::time::Duration;

use sassafrasspool_core::Event;
use sassafrasspool_core::Tick;
use tokio::sync::mpsc;
use tokio::time::sleep_until;
use tokio_util::sync::CancellationToken;

use super::ControlEvent;
use super::Machine;

/// Events that are taken in before what they changed is put in force.
const BATCH: usize = 64;

/// How long the machine sleeps at most, so that its view of the platform's
/// contact stays fresh.
const LONGEST_SLEEP: Duration = Duration::from_secs(1);

/// A machine with its queue of events.
#[derive(Debug)]
pub(super) struct Pump {
    /// The machine.
    pub(super) machine: Machine,
    rx: mpsc::Receiver<ControlEvent>,
    cancel: CancellationToken,
}

/// Why the pump came to rest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Rest {
    /// What was waited for has come true.
    Reached,
    /// It hasn't, but the time is over.
    Late,
    /// The node is to end at once.
    Cancelled,
}

/// Until when the pump runs.
#[derive(Debug, Clone, Copy)]
pub(super) struct Until {
    /// When it gives up, if ever.
    pub(super) limit: Option<Tick>,
    /// How often it looks at least, if what is waited for isn't an event.
    pub(super) look: Duration,
}

impl Until {
    /// For as long as it takes.
    pub(super) const EVER: Until = Until {
        limit: None,
        look: LONGEST_SLEEP,
    };
}

impl Pump {
    pub(super) fn new(
        machine: Machine,
        rx: mpsc::Receiver<ControlEvent>,
        cancel: CancellationToken,
    ) -> Pump {
        Pump {
            machine,
            rx,
            cancel,
        }
    }

    /// Runs until `reached` says so.
    pub(super) async fn run(&mut self, until: Until, reached: impl Fn(&Machine) -> bool) -> Rest {
        loop {
            let gate = self.machine.outside().gate.clone();
            self.cancel.run_until_cancelled(gate.pass()).await;
            if reached(&self.machine) {
                return Rest::Reached;
            }
            let now = self.machine.now();
            if until.limit.is_some_and(|limit| limit <= now) {
                return Rest::Late;
            }
            let wake = self.wake(now, until);
            tokio::select! {
                biased;
                () = self.cancel.cancelled() => return Rest::Cancelled,
                Some(event) = self.rx.recv() => self.take(event),
                () = sleep_until(wake.into()) => {}
            }
            if self.machine.next_wakeup() <= self.machine.now() {
                self.machine.handle(Event::Wakeup);
            }
            self.machine.publish();
        }
    }

    fn take(&mut self, first: ControlEvent) {
        self.machine.take(first);
        for _ in 1..BATCH {
            let Ok(event) = self.rx.try_recv() else {
                return;
            };
            self.machine.take(event);
        }
    }

    fn wake(&self, now: Tick, until: Until) -> std::time::Instant {
        let mut wake = self.machine.next_wakeup().min(now + until.look);
        if let Some(limit) = until.limit {
            wake = wake.min(limit);
        }
        self.machine.outside().shared.clock().instant(wake)
    }
}
