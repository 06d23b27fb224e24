//! Faults of endpoints.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use sassafrasspool_core::AttemptOutcome;
use sassafrasspool_core::Intake;
use sassafrasspool_core::Loss;
use sassafrasspool_core::LossCause;
use sassafrasspool_core::Progress;
use sassafrasspool_core::Reason;
use sassafrasspool_core::Step;
use sassafrasspool_core::history::Bounds;
use sassafrasspool_core::history::Event;

use super::ANNOUNCEMENT_DELAY;
use super::DRAIN_BOUND;
use super::ENDPOINTS;
use super::Sim;
use super::Work;
use super::call::Call;
use crate::endpoint::Stage;
use crate::policy::Policy;

/// A fault with its time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Fault {
    pub(crate) ms: u64,
    pub(crate) kind: FaultKind,
}

/// A kind of fault with the index of its endpoint.
#[derive(Debug, Clone, Copy)]
pub(crate) enum FaultKind {
    Crash(usize),
    Drain(usize),
    /// A drain that is not announced to other nodes.
    DrainUnannounced(usize),
    Restart(usize),
    Slow(usize, u64),
    ReportIdle(usize),
}

impl Fault {
    /// Draws twelve random faults within ten seconds.
    pub(crate) fn draw(seed: u64) -> Vec<Fault> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut draw_one = |_| {
            let i = rng.random_range(0..ENDPOINTS);
            let kind = match rng.random_range(0..8) {
                0 | 1 => FaultKind::Crash(i),
                2 => FaultKind::Drain(i),
                3 => FaultKind::DrainUnannounced(i),
                4 | 5 => FaultKind::Restart(i),
                6 => FaultKind::Slow(i, rng.random_range(2..20)),
                _ => FaultKind::ReportIdle(i),
            };
            let ms = rng.random_range(500..9_500);
            Fault { ms, kind }
        };
        (0..12).map(&mut draw_one).collect()
    }
}

impl Sim {
    pub(super) fn apply_fault(&mut self, kind: FaultKind) {
        match kind {
            FaultKind::Crash(i) => self.crash(i),
            FaultKind::Drain(i) => self.drain(i, true),
            FaultKind::DrainUnannounced(i) => self.drain(i, false),
            FaultKind::Restart(i) => {
                if matches!(self.endpoints[i].stage, Stage::Down) {
                    self.endpoints[i].restart();
                    let node = self.endpoints[i].instance.id.clone();
                    self.record(Event::NodeBack { node });
                    self.announce(i, Intake::Open);
                }
            }
            FaultKind::Slow(i, slowness) => self.endpoints[i].slowness = slowness,
            FaultKind::ReportIdle(i) => self.endpoints[i].reports_idle = true,
        }
    }

    pub(super) fn crash(&mut self, i: usize) {
        if matches!(self.endpoints[i].stage, Stage::Down) {
            return;
        }
        let target = self.endpoints[i].instance.id.clone();
        self.record(Event::Crashed { target });
        // A crash during a planned stop also ends the stop; the stop itself cuts off no request.
        self.endpoints[i].stage = Stage::Down;
        self.endpoints[i].incarnation += 1;
        self.break_connections(i);
    }

    /// Breaks all connections to an endpoint.
    pub(super) fn break_connections(&mut self, i: usize) {
        let is_open = |call: &Call| {
            let held = call.running.is_some() || call.queued.is_some() || call.naive_run;
            held && !call.ended && call.endpoint == i
        };
        let open = self.calls.iter().filter(|(_, call)| is_open(call));
        let open: Vec<u64> = open.map(|(id, _)| *id).collect();
        for id in open {
            let call = self.calls.get_mut(&id).unwrap();
            call.queued = None;
            if let Some((request, _)) = call.running.take() {
                let _ = request.lose(self.now, LossCause::ConnectionLost);
            }
            let loss = Loss::new(Step::Forward, LossCause::ConnectionLost);
            self.fail_attempt(id, loss.into(), AttemptOutcome::Failed);
        }
    }

    pub(super) fn drain(&mut self, i: usize, announced: bool) {
        let endpoint = &mut self.endpoints[i];
        let target = endpoint.instance.id.clone();
        match std::mem::replace(&mut endpoint.stage, Stage::Down) {
            Stage::Up(drain) => {
                endpoint.stops_at_latest = self.now + 3 * Bounds::default().leaving;
                endpoint.stage = Stage::Draining(drain.begin(self.now, DRAIN_BOUND));
                if self.policy != Policy::AdmitWhileDraining {
                    endpoint.admission.close(Reason::Draining);
                }
                self.record(Event::DrainBegan { target });
                if announced {
                    self.announce(i, Intake::Closed);
                }
                self.poll_drain(i);
            }
            Stage::Draining(drain) => {
                endpoint.stage = Stage::Draining(drain.extend(self.now, DRAIN_BOUND));
            }
            Stage::Down => {}
        }
    }

    pub(super) fn poll_drain(&mut self, i: usize) {
        let endpoint = &mut self.endpoints[i];
        let naive = endpoint.running > 0;
        let drain = match std::mem::replace(&mut endpoint.stage, Stage::Down) {
            Stage::Draining(drain) => drain,
            other => return endpoint.stage = other,
        };
        let wait = naive || self.policy == Policy::AdmitWhileDraining;
        let wait = wait && self.now < endpoint.stops_at_latest;
        match drain.poll(self.now) {
            Progress::Finished(over) if !wait => {
                let cut = over.cut();
                self.stop(i, cut);
            }
            Progress::Finished(over) => {
                endpoint.stage = Stage::Draining(over.reopen().begin(self.now, DRAIN_BOUND));
                self.schedule_after(Duration::from_millis(10), Work::PollDrain(i));
            }
            Progress::Waiting(_) if self.policy == Policy::StopWithoutWaiting => self.stop(i, 0),
            Progress::Waiting(drain) => {
                endpoint.stage = Stage::Draining(drain);
                self.schedule_after(Duration::from_millis(10), Work::PollDrain(i));
            }
        }
    }

    pub(super) fn stop(&mut self, i: usize, cut: u64) {
        let target = self.endpoints[i].instance.id.clone();
        self.record(Event::DrainEnded { target, cut });
        self.endpoints[i].incarnation += 1;
        self.break_connections(i);
    }

    pub(super) fn announce(&mut self, i: usize, intake: Intake) {
        let incarnation = self.endpoints[i].incarnation;
        self.schedule_after(
            ANNOUNCEMENT_DELAY,
            Work::IntakeAnnounced(i, incarnation, intake),
        );
    }

    pub(super) fn mark_intake(&mut self, i: usize, incarnation: u64, intake: Intake) {
        let endpoint = &self.endpoints[i];
        if endpoint.incarnation > incarnation && intake == Intake::Open {
            return;
        }
        for (meters, _) in &self.callers {
            meters.set_intake(&endpoint.instance.id, intake, self.now);
        }
    }
}
