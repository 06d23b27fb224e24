//! The control task of a node: start, serve, drain, stop.

use std::sync::Arc;
use std::time::Duration;

use sassafrasspool_core::Phase;
use sassafrasspool_core::Tick;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::ControlDriver;
use super::ControlEvent;
use super::DrainCause;
use super::event_loop::EventLoop;
use super::event_loop::LoopExit;
use super::event_loop::RunLimit;
use super::probe;
use crate::RunningTraffic;
use crate::Settings;
use crate::lifecycle::Draining;
use crate::lifecycle::LocalEndpoint;
use crate::lifecycle::Starting;

/// How often a draining node checks whether its requests have finished.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The shortest drain. Requests that others sent before they received the new
/// phase still get an answer in this time.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(300);

/// How long to wait until the final announcement has reached the first peers.
const FINAL_ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(500);

/// The shortest wait for the final announcement. It is delayed for a moment
/// before it is sent, as all states are, to be batched with others.
const FINAL_ANNOUNCE_MIN: Duration = Duration::from_millis(150);

/// How a node has stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopReport {
    /// Requests in flight that were cut by the drain timeout or a second
    /// signal; zero after a clean stop.
    pub requests_cut: u64,
}

/// The control task with the traffic side that it stops.
#[derive(Debug)]
pub(crate) struct ControlTask {
    event_loop: EventLoop,
    settings: Arc<Settings>,
    traffic: Option<RunningTraffic>,
    stop_traffic: CancellationToken,
}

impl ControlTask {
    pub(crate) fn new(
        driver: ControlDriver,
        rx: mpsc::Receiver<ControlEvent>,
        settings: Arc<Settings>,
        traffic: RunningTraffic,
        stop_traffic: CancellationToken,
    ) -> ControlTask {
        let cancel = driver.context().cancel.clone();
        ControlTask {
            event_loop: EventLoop::new(driver, rx, cancel),
            settings,
            traffic: Some(traffic),
            stop_traffic,
        }
    }

    /// Runs until the node has stopped or is cancelled.
    pub(crate) async fn run(mut self) -> StopReport {
        let shared = Arc::clone(&self.event_loop.driver.context().shared);
        self.start_probes();
        self.event_loop
            .driver
            .enter_phase(Phase::Starting, "the node started");
        let starting = LocalEndpoint::new(shared);
        match self.serve_until_drain(starting).await {
            Some(draining) => self.drain(draining).await,
            None => self.abort().await,
        }
    }

    /// Starts the readiness probe and the cold-start probe of the target.
    fn start_probes(&self) {
        let context = self.event_loop.driver.context();
        let control = context.control.clone();
        let target = self.settings.target.clone();
        context.spawn(async move {
            probe::wait_until_ready(target).await;
            control.send(ControlEvent::TargetReady).await;
        });
        let shared = Arc::clone(&context.shared);
        context.spawn(probe::track_cold_state(shared, self.settings.target.addr));
    }

    /// Becomes ready once the node has joined and its target is ready, and runs
    /// until the endpoint is to drain; `None` if the node was cancelled.
    async fn serve_until_drain(
        &mut self,
        starting: LocalEndpoint<Starting>,
    ) -> Option<LocalEndpoint<Draining>> {
        let ready_or_draining = |d: &ControlDriver| d.may_serve() || d.is_drain_requested();
        if self.event_loop.run(RunLimit::NONE, ready_or_draining).await == LoopExit::Cancelled {
            return None;
        }
        let draining = if self.event_loop.driver.is_drain_requested() {
            starting.drain()
        } else {
            let ready = starting.become_ready();
            let reason = "joined, and the target has started";
            self.event_loop.driver.enter_phase(Phase::Ready, reason);
            if self
                .event_loop
                .run(RunLimit::NONE, ControlDriver::is_drain_requested)
                .await
                == LoopExit::Cancelled
            {
                return None;
            }
            if self.wait_for_callers_to_leave().await == LoopExit::Cancelled {
                return None;
            }
            ready.drain()
        };
        let cause = self
            .event_loop
            .driver
            .drain_cause()
            .unwrap_or(DrainCause::Requested);
        self.event_loop
            .driver
            .enter_phase(Phase::Draining, cause.reason());
        Some(draining)
    }

    /// Reports to callers that the node isn't ready, and serves as before until
    /// they have had time to switch to other nodes.
    ///
    /// Callers notice after seconds. When a stopping node drained at once, its
    /// target was idle meanwhile; where instances were restarted one after the
    /// other, four of eleven targets were idle.
    async fn wait_for_callers_to_leave(&mut self) -> LoopExit {
        if !self.event_loop.driver.is_stop_requested() {
            return LoopExit::ConditionMet;
        }
        self.event_loop.driver.context().shared.set_stopping();
        let limit = RunLimit {
            deadline: Some(self.event_loop.driver.now() + self.settings.drain.caller_grace),
            ..RunLimit::NONE
        };
        self.event_loop.run(limit, |_| false).await
    }

    /// Finishes the requests in flight, announces the end and stops.
    async fn drain(mut self, draining: LocalEndpoint<Draining>) -> StopReport {
        let earliest_end = self.event_loop.driver.now() + MIN_DRAIN_TIME;
        if self
            .event_loop
            .run(RunLimit::NONE, ControlDriver::is_stop_requested)
            .await
            == LoopExit::Cancelled
        {
            return self.abort().await;
        }
        let limit = RunLimit {
            deadline: Some(self.event_loop.driver.now() + self.settings.drain.in_flight_timeout),
            poll_interval: DRAIN_POLL_INTERVAL,
        };
        let idle = |d: &ControlDriver| d.now() >= earliest_end && d.in_flight() == 0;
        if self.event_loop.run(limit, idle).await == LoopExit::Cancelled {
            return self.abort().await;
        }
        self.close_traffic(limit.deadline);
        let stopped = |d: &ControlDriver| d.requests_cut().is_some();
        if self.event_loop.run(RunLimit::NONE, stopped).await == LoopExit::Cancelled {
            return self.abort().await;
        }
        self.announce_end(draining).await;
        StopReport {
            requests_cut: self.event_loop.driver.requests_cut().unwrap_or_default(),
        }
    }

    /// Closes each connection of the traffic side once its answer is sent, and
    /// cuts the remaining requests at `deadline`.
    fn close_traffic(&mut self, deadline: Option<Tick>) {
        self.stop_traffic.cancel();
        let context = self.event_loop.driver.context();
        let control = context.control.clone();
        let now = self.event_loop.driver.now();
        let timeout = deadline.map_or(Duration::ZERO, |deadline| deadline.since(now));
        let Some(traffic) = self.traffic.take() else {
            return;
        };
        context.spawn(async move {
            let requests_cut = traffic.wait_stopped_or_abort(timeout).await;
            control
                .send(ControlEvent::TrafficStopped { requests_cut })
                .await;
        });
    }

    /// Announces that the endpoint has ended, and waits a moment until the
    /// first peers have received it.
    async fn announce_end(&mut self, draining: LocalEndpoint<Draining>) {
        let _gone = draining.finish();
        self.event_loop.driver.enter_phase(Phase::Gone, "drained");
        let now = self.event_loop.driver.now();
        let earliest_end = now + FINAL_ANNOUNCE_MIN;
        let limit = RunLimit {
            deadline: Some(now + FINAL_ANNOUNCE_TIMEOUT),
            poll_interval: DRAIN_POLL_INTERVAL,
        };
        let announced = |d: &ControlDriver| d.now() >= earliest_end && d.calls_in_flight() == 0;
        self.event_loop.run(limit, announced).await;
    }

    /// Stops at once and reports the requests in flight as cut.
    async fn abort(&mut self) -> StopReport {
        let requests_cut = self.event_loop.driver.in_flight();
        self.stop_traffic.cancel();
        if let Some(traffic) = self.traffic.take() {
            traffic.wait_stopped_or_abort(Duration::ZERO).await;
        }
        StopReport { requests_cut }
    }
}
