//! A node's life from its control side: start, take requests, drain, end.

use std::sync::Arc;
use std::time::Duration;

use sassafrasspool_core::Phase;
use sassafrasspool_core::Tick;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::ControlEvent;
use super::Leaving;
use super::Machine;
use super::probe;
use super::pump::Pump;
use super::pump::Rest;
use super::pump::Until;
use crate::RunningTraffic;
use crate::Settings;
use crate::lifecycle::Draining;
use crate::lifecycle::LocalEndpoint;
use crate::lifecycle::Starting;

/// How often a draining node looks whether its requests have finished.
const DRAIN_LOOK: Duration = Duration::from_millis(5);

/// How long a draining node stays at least, so that what others had sent
/// before they heard of it still gets an answer.
const DRAIN_LEAST: Duration = Duration::from_millis(300);

/// How long the word of the end is waited for to reach the first peers.
const FINAL_ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(500);

/// How long the last word takes to be sent at least: it is held back for a
/// moment, as all states are, to go out with others.
const FINAL_ANNOUNCE_MIN: Duration = Duration::from_millis(150);

/// How a node has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopReport {
    /// Requests that were in flight when the bound or a second signal ended
    /// them; zero after a clean stop.
    pub cut: u64,
}

/// The control side with all that its life needs.
#[derive(Debug)]
pub(crate) struct Control {
    pump: Pump,
    settings: Arc<Settings>,
    traffic: Option<RunningTraffic>,
    stop_traffic: CancellationToken,
}

impl Control {
    pub(crate) fn new(
        machine: Machine,
        rx: mpsc::Receiver<ControlEvent>,
        settings: Arc<Settings>,
        traffic: RunningTraffic,
        stop_traffic: CancellationToken,
    ) -> Control {
        let cancel = machine.outside().cancel.clone();
        Control {
            pump: Pump::new(machine, rx, cancel),
            settings,
            traffic: Some(traffic),
            stop_traffic,
        }
    }

    /// Lives until the node is told to stop or is cancelled.
    pub(crate) async fn run(mut self) -> StopReport {
        let shared = Arc::clone(&self.pump.machine.outside().shared);
        self.probe_target();
        self.pump.machine.enter(Phase::Starting, "the node started");
        let starting = LocalEndpoint::new(shared);
        match self.until_draining(starting).await {
            Some(draining) => self.drain(draining).await,
            None => self.cut().await,
        }
    }

    fn probe_target(&self) {
        let outside = self.pump.machine.outside();
        let control = outside.control.clone();
        let target = self.settings.target.clone();
        outside.spawn(async move {
            probe::until_ready(target).await;
            control.send(ControlEvent::TargetReady).await;
        });
        let shared = Arc::clone(&outside.shared);
        outside.spawn(probe::follow_coldness(shared, self.settings.target.addr));
    }

    /// Takes requests as soon as that is possible; nothing if it was cancelled.
    async fn until_draining(
        &mut self,
        starting: LocalEndpoint<Starting>,
    ) -> Option<LocalEndpoint<Draining>> {
        let ready_or_leaving = |m: &Machine| m.may_serve() || m.is_leaving();
        if self.pump.run(Until::EVER, ready_or_leaving).await == Rest::Cancelled {
            return None;
        }
        let draining = if self.pump.machine.is_leaving() {
            starting.drain()
        } else {
            let ready = starting.ready();
            let reason = "joined, and the target has started";
            self.pump.machine.enter(Phase::Ready, reason);
            if self.pump.run(Until::EVER, Machine::is_leaving).await == Rest::Cancelled {
                return None;
            }
            if self.let_callers_go().await == Rest::Cancelled {
                return None;
            }
            ready.drain()
        };
        let why = self.pump.machine.leaving().unwrap_or(Leaving::Told);
        self.pump.machine.enter(Phase::Draining, why.reason());
        Some(draining)
    }

    /// Tells callers to go elsewhere and goes on as before until they have.
    ///
    /// It takes callers seconds to notice. Draining at once, a stopping node's
    /// target stood idle meanwhile; where instances are restarted one after the
    /// other, four of eleven targets did nothing.
    async fn let_callers_go(&mut self) -> Rest {
        if !self.pump.machine.stop_asked() {
            return Rest::Reached;
        }
        self.pump.machine.outside().shared.set_stopping();
        let until = Until {
            limit: Some(self.pump.machine.now() + self.settings.drain.callers),
            ..Until::EVER
        };
        self.pump.run(until, |_| false).await
    }

    /// Finishes what is in flight, tells the others and ends.
    async fn drain(mut self, draining: LocalEndpoint<Draining>) -> StopReport {
        let least = self.pump.machine.now() + DRAIN_LEAST;
        if self.pump.run(Until::EVER, Machine::stop_asked).await == Rest::Cancelled {
            return self.cut().await;
        }
        let until = Until {
            limit: Some(self.pump.machine.now() + self.settings.drain.bound),
            look: DRAIN_LOOK,
        };
        let idle = |m: &Machine| m.now() >= least && m.in_flight() == 0;
        if self.pump.run(until, idle).await == Rest::Cancelled {
            return self.cut().await;
        }
        self.close_traffic(until.limit);
        let stopped = |m: &Machine| m.traffic_cut().is_some();
        if self.pump.run(Until::EVER, stopped).await == Rest::Cancelled {
            return self.cut().await;
        }
        self.announce_end(draining).await;
        StopReport {
            cut: self.pump.machine.traffic_cut().unwrap_or_default(),
        }
    }

    /// Closes the traffic side's connections, each once it has given its
    /// answer, and cuts what is left at `limit`.
    fn close_traffic(&mut self, limit: Option<Tick>) {
        self.stop_traffic.cancel();
        let outside = self.pump.machine.outside();
        let control = outside.control.clone();
        let now = self.pump.machine.now();
        let bound = limit.map_or(Duration::ZERO, |limit| limit.since(now));
        let Some(traffic) = self.traffic.take() else {
            return;
        };
        outside.spawn(async move {
            let cut = traffic.stopped_within(bound).await;
            control.send(ControlEvent::TrafficStopped { cut }).await;
        });
    }

    /// Tells the others that the endpoint has ended, and waits a moment for
    /// the first of them to have heard it.
    async fn announce_end(&mut self, draining: LocalEndpoint<Draining>) {
        let _gone = draining.end();
        self.pump.machine.enter(Phase::Gone, "drained");
        let now = self.pump.machine.now();
        let least = now + FINAL_ANNOUNCE_MIN;
        let until = Until {
            limit: Some(now + FINAL_ANNOUNCE_TIMEOUT),
            look: DRAIN_LOOK,
        };
        let told = |m: &Machine| m.now() >= least && m.calls() == 0;
        self.pump.run(until, told).await;
    }

    /// Ends at once, with a count of what that cuts.
    async fn cut(&mut self) -> StopReport {
        let cut = self.pump.machine.in_flight();
        self.stop_traffic.cancel();
        if let Some(traffic) = self.traffic.take() {
            traffic.stopped_within(Duration::ZERO).await;
        }
        StopReport { cut }
    }
}
