//! Driving the decisions: events in, actions carried out.

use std::time::Duration;

use metrics::counter;
use sassafrasspool_core::Action;
use sassafrasspool_core::AuditEvent;
use sassafrasspool_core::Disseminate;
use sassafrasspool_core::Event;
use sassafrasspool_core::Origin;
use sassafrasspool_core::Phase;
use sassafrasspool_core::SpreadStatus;
use sassafrasspool_core::Tick;
use sassafrasspool_wire::platform::SourceAsk;

use super::ControlEvent;
use super::Leaving;
use super::Outside;
use super::views::Views;
use crate::metrics::names;

/// The decisions with all that they act on.
#[derive(Debug)]
pub(crate) struct Machine {
    spread: Box<dyn Disseminate>,
    outside: Outside,
    views: Views,
    calls: usize,
    joined: bool,
    target_ready: bool,
    leaving: Option<Leaving>,
    stop: bool,
    traffic_cut: Option<u64>,
}

impl Machine {
    /// Decisions that haven't been told anything yet.
    pub(crate) fn new(spread: Box<dyn Disseminate>, outside: Outside) -> Machine {
        Machine {
            spread,
            outside,
            views: Views::default(),
            calls: 0,
            joined: false,
            target_ready: false,
            leaving: None,
            stop: false,
            traffic_cut: None,
        }
    }

    /// What the machine acts on.
    pub(super) fn outside(&self) -> &Outside {
        &self.outside
    }

    /// The present tick.
    pub(super) fn now(&self) -> Tick {
        self.outside.shared.clock().now()
    }

    /// When the machine is to be woken up.
    pub(super) fn next_wakeup(&self) -> Tick {
        let due = self.spread.next_wakeup();
        self.views.due().map_or(due, |views| views.min(due))
    }

    /// Whether the endpoint can take requests: a snapshot is in force that was
    /// compared with others, and the target has started.
    pub(super) fn may_serve(&self) -> bool {
        self.joined && self.target_ready
    }

    /// Whether the endpoint is to take nothing new.
    pub(super) fn is_leaving(&self) -> bool {
        self.leaving.is_some()
    }

    /// Why it isn't, once it is so.
    pub(super) fn leaving(&self) -> Option<Leaving> {
        self.leaving
    }

    /// Whether the node is to end.
    pub(super) fn stop_asked(&self) -> bool {
        self.stop
    }

    /// How many requests were cut, once the traffic side has closed all its
    /// connections.
    pub(super) fn traffic_cut(&self) -> Option<u64> {
        self.traffic_cut
    }

    /// Requests that the node works on.
    pub(super) fn in_flight(&self) -> u64 {
        self.outside.shared.in_flight().count()
    }

    /// Calls to peers that are under way.
    pub(super) fn calls(&self) -> usize {
        self.calls
    }

    /// Takes in one event.
    pub(super) fn take(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::Spread(event) => self.handle(event),
            ControlEvent::Message {
                from,
                message,
                reply,
            } => {
                let mut actions = Vec::new();
                let now = self.now();
                let answer = self.spread.answer(now, &from, message, &mut actions);
                // Whoever asked may have given up in between.
                let _ = reply.send(answer);
                self.carry_out(actions);
            }
            ControlEvent::TargetReady => self.target_ready = true,
            ControlEvent::Drain => self.leave(Leaving::Told),
            ControlEvent::Stop => {
                self.stop = true;
                self.leave(Leaving::Told);
            }
            ControlEvent::TrafficStopped { cut } => self.traffic_cut = Some(cut),
            ControlEvent::Status(reply) => {
                let _ = reply.send(self.spread.status(self.now()));
            }
        }
    }

    /// Tells the decisions of something that happened.
    pub(super) fn handle(&mut self, event: Event) {
        if matches!(event, Event::Reply { .. } | Event::CallFailed { .. }) {
            self.calls = self.calls.saturating_sub(1);
        }
        let mut actions = Vec::new();
        let now = self.now();
        self.spread.handle(now, event, &mut actions);
        self.carry_out(actions);
    }

    /// Tells of a phase that the own endpoint has entered.
    pub(super) fn enter(&mut self, phase: Phase, reason: &str) {
        self.outside.audit.write_phase(phase, reason);
        self.handle(Event::LocalPhase(phase));
        self.publish();
    }

    /// Puts in force what has changed since the last time.
    pub(super) fn publish(&mut self) {
        let now = self.now();
        self.views.publish(now, &self.outside.shared);
        let status = self.spread.status(now);
        let since_start = |age| now.since(Tick::ZERO).saturating_sub(age);
        if let Some(since_start) = status.source_age.map(since_start) {
            let reached = Tick::ZERO + since_start;
            self.outside.shared.contact().note(reached);
        }
        if let Some(heard) = status.advertised.catalogue {
            self.outside.shared.heard().note(now, heard.revision());
        }
        self.prove_instances(now, &status);
    }

    /// Passes on up to when nothing newer than a list was published.
    ///
    /// The age of the contact with the platform would not do: it is renewed by
    /// answers that say nothing of the list.
    fn prove_instances(&self, now: Tick, status: &SpreadStatus) {
        let Some(proof) = status.list_proof else {
            return;
        };
        let age = Duration::from_millis(proof.age_ms.into());
        // A proof from before this process began is not used: ticks begin with
        // it.
        if let Some(since_start) = now.since(Tick::ZERO).checked_sub(age) {
            let at = Tick::ZERO + since_start;
            self.outside.shared.prove_instances(at, proof.revision);
        }
    }

    /// Takes nothing new from now on; the first reason counts.
    fn leave(&mut self, why: Leaving) {
        self.leaving.get_or_insert(why);
    }

    /// Writes a change of state.
    ///
    /// A process that was stopped for long is taken for dead, and another may
    /// be started for its instance. When it wakes, both believe that they own
    /// the instance's part of the request keys, and one request could run
    /// beside each. The one that hears of the other leaves.
    fn write(&mut self, event: &AuditEvent) {
        count(event);
        self.outside.audit.write(event);
        if matches!(event, AuditEvent::Replaced { .. }) {
            self.leave(Leaving::Replaced);
        }
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(call) => {
                    self.calls += 1;
                    self.outside.call(*call);
                }
                Action::ReadSource {
                    stream,
                    after,
                    wait,
                    freshness,
                    list,
                    catalogue,
                } => self.outside.read(SourceAsk {
                    stream,
                    after,
                    wait,
                    freshness,
                    list,
                    catalogue,
                }),
                Action::Apply(applied) => self.views.apply(applied.snapshot),
                Action::Joined => self.joined = true,
                Action::Endpoint(state) => self.views.put(state),
                Action::Quarantine(verdicts) => {
                    let now = self.now();
                    self.outside.shared.quarantine().judge(now, verdicts);
                }
                Action::Audit(event) => self.write(&event),
                other => tracing::debug!(?other, "an action that this node doesn't know"),
            }
        }
    }
}

/// Counts a change of state.
fn count(event: &AuditEvent) {
    match event {
        AuditEvent::Applied { stream, origin, .. } => {
            let origin = match origin {
                Origin::Source => "source",
                Origin::Peer(_) => "peer",
            };
            counter!(names::APPLIED, "stream" => stream.as_str(), "origin" => origin).increment(1);
        }
        AuditEvent::Refused { stream, .. } => {
            counter!(names::REFUSED, "stream" => stream.as_str()).increment(1);
        }
        AuditEvent::Conflict { stream, .. } => {
            counter!(names::CONFLICTS, "stream" => stream.as_str()).increment(1);
        }
        AuditEvent::OlderIgnored { stream, .. } => {
            counter!(names::OLDER, "stream" => stream.as_str()).increment(1);
        }
        AuditEvent::BodyRefused { stream, .. } => {
            counter!(names::BODIES_REFUSED, "stream" => stream.as_str()).increment(1);
        }
        AuditEvent::Replaced { .. } => counter!(names::REPLACED).increment(1),
        AuditEvent::Paused { .. } => counter!(names::PAUSES).increment(1),
        AuditEvent::TargetCrashed { .. } => counter!(names::TARGET_CRASHES).increment(1),
        AuditEvent::Quarantined { .. } => counter!(names::QUARANTINED).increment(1),
        _ => {}
    }
}
