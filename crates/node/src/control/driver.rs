//! Passes events to dissemination and carries out the actions that it returns.

use std::time::Duration;

use metrics::counter;
use metrics::gauge;
use sassafrasspool_core::Action;
use sassafrasspool_core::AuditEvent;
use sassafrasspool_core::Disseminate;
use sassafrasspool_core::Event;
use sassafrasspool_core::Origin;
use sassafrasspool_core::Phase;
use sassafrasspool_core::RequestRate;
use sassafrasspool_core::SpreadStatus;
use sassafrasspool_core::Tick;
use sassafrasspool_wire::platform::SourceRequest;

use super::ControlContext;
use super::ControlEvent;
use super::DrainCause;
use super::view_publisher::ViewPublisher;
use crate::metrics::names;

/// Dissemination with the context that its actions are carried out on.
#[derive(Debug)]
pub(crate) struct ControlDriver {
    dissemination: Box<dyn Disseminate>,
    context: ControlContext,
    views: ViewPublisher,
    calls_in_flight: usize,
    joined: bool,
    target_ready: bool,
    drain_cause: Option<DrainCause>,
    stop_requested: bool,
    requests_cut: Option<u64>,
}

impl ControlDriver {
    /// A driver of dissemination that has handled no event yet.
    pub(crate) fn new(
        dissemination: Box<dyn Disseminate>,
        context: ControlContext,
    ) -> ControlDriver {
        ControlDriver {
            dissemination,
            context,
            views: ViewPublisher::default(),
            calls_in_flight: 0,
            joined: false,
            target_ready: false,
            drain_cause: None,
            stop_requested: false,
            requests_cut: None,
        }
    }

    /// The context that actions are carried out on.
    pub(super) fn context(&self) -> &ControlContext {
        &self.context
    }

    /// The current tick.
    pub(super) fn now(&self) -> Tick {
        self.context.shared.clock().now()
    }

    /// When dissemination or the views have timed work next.
    pub(super) fn next_wakeup(&self) -> Tick {
        let wakeup = self.dissemination.next_wakeup();
        self.views
            .next_publish()
            .map_or(wakeup, |publish| publish.min(wakeup))
    }

    /// Whether the endpoint can accept requests: its snapshot was compared with
    /// those of peers and is in force, and the target has started.
    pub(super) fn may_serve(&self) -> bool {
        self.joined && self.target_ready
    }

    /// Whether the endpoint is to drain.
    pub(super) fn is_drain_requested(&self) -> bool {
        self.drain_cause.is_some()
    }

    /// Why the endpoint is to drain, if it is.
    pub(super) fn drain_cause(&self) -> Option<DrainCause> {
        self.drain_cause
    }

    /// Whether the node is to stop.
    pub(super) fn is_stop_requested(&self) -> bool {
        self.stop_requested
    }

    /// How many requests were cut; `None` until the traffic side has closed all
    /// its connections.
    pub(super) fn requests_cut(&self) -> Option<u64> {
        self.requests_cut
    }

    /// Requests in flight in this node.
    pub(super) fn in_flight(&self) -> u64 {
        self.context.shared.in_flight().count()
    }

    /// Calls to peers that are in flight.
    pub(super) fn calls_in_flight(&self) -> usize {
        self.calls_in_flight
    }

    /// Handles one event of the control task.
    pub(super) fn handle_control_event(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::Spread(event) => self.handle_spread_event(event),
            ControlEvent::Message {
                from,
                message,
                reply,
            } => {
                let mut actions = Vec::new();
                let now = self.now();
                let answer = self.dissemination.answer(now, &from, message, &mut actions);
                // The sender may have given up waiting by now.
                let _ = reply.send(answer);
                self.execute(actions);
            }
            ControlEvent::Audit(event) => self.record_audit_event(&event),
            ControlEvent::TargetReady => self.target_ready = true,
            ControlEvent::Drain => self.request_drain(DrainCause::Requested),
            ControlEvent::Stop => {
                self.stop_requested = true;
                self.request_drain(DrainCause::Requested);
            }
            ControlEvent::TrafficStopped { requests_cut } => self.requests_cut = Some(requests_cut),
            ControlEvent::Status(reply) => {
                let _ = reply.send(self.dissemination.status(self.now()));
            }
        }
    }

    /// Passes an event to dissemination and carries out the actions.
    pub(super) fn handle_spread_event(&mut self, event: Event) {
        if matches!(event, Event::Reply { .. } | Event::CallFailed { .. }) {
            self.calls_in_flight = self.calls_in_flight.saturating_sub(1);
        }
        let mut actions = Vec::new();
        let now = self.now();
        self.dissemination.handle(now, event, &mut actions);
        self.execute(actions);
    }

    /// Records and announces that the local endpoint has entered a phase.
    pub(super) fn enter_phase(&mut self, phase: Phase, reason: &str) {
        self.context.audit.write_phase(phase, reason);
        self.handle_spread_event(Event::LocalPhase(phase));
        self.publish();
    }

    /// Publishes to the traffic side what has changed since the last call.
    pub(super) fn publish(&mut self) {
        let now = self.now();
        self.views.publish(now, &self.context.shared);
        let status = self.dissemination.status(now);
        let since_start = |age| now.since(Tick::ZERO).saturating_sub(age);
        if let Some(since_start) = status.source_age.map(since_start) {
            let contact_at = Tick::ZERO + since_start;
            self.context.shared.contact().record(contact_at);
        }
        if let Some(advertised) = status.advertised.catalogue {
            self.context
                .shared
                .advertised_catalogue()
                .record_first(now, advertised.revision());
        }
        self.record_list_proof(now, &status);
    }

    /// Publishes the latest time at which the instance list was proved to be
    /// the platform's newest.
    ///
    /// The age of the contact with the platform can't be used for this: it is
    /// also renewed by answers that don't concern the list.
    fn record_list_proof(&self, now: Tick, status: &SpreadStatus) {
        let Some(proof) = status.list_proof else {
            return;
        };
        let age = Duration::from_millis(proof.age_ms.into());
        // A proof from before the start of this process has no tick and is not
        // used.
        if let Some(since_start) = now.since(Tick::ZERO).checked_sub(age) {
            let proved_at = Tick::ZERO + since_start;
            self.context
                .shared
                .record_list_proof(proved_at, proof.revision);
        }
    }

    /// Requests a drain; the first cause is kept.
    fn request_drain(&mut self, cause: DrainCause) {
        self.drain_cause.get_or_insert(cause);
    }

    /// Counts a state change and writes it to the audit trail.
    ///
    /// A process that is suspended for long is considered dead, and another may
    /// be started for its instance. When the first one resumes, both act as the
    /// owner of the instance's request keys, and one request could run in the
    /// target of each. The process that learns that it was replaced drains.
    fn record_audit_event(&mut self, event: &AuditEvent) {
        count_audit_event(event);
        self.context.audit.write(event);
        if matches!(event, AuditEvent::Replaced { .. }) {
            self.request_drain(DrainCause::Replaced);
        }
    }

    fn execute(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(call) => {
                    self.calls_in_flight += 1;
                    self.context.start_call(*call);
                }
                Action::ReadSource {
                    stream,
                    after,
                    wait,
                    freshness,
                    list,
                    catalogue,
                } => self.context.start_read(SourceRequest {
                    stream,
                    after,
                    wait,
                    freshness,
                    list,
                    catalogue,
                }),
                Action::Apply(applied) => self.views.set_snapshot(applied.snapshot),
                Action::Joined => self.joined = true,
                Action::Endpoint(state) => self.views.update_state(state),
                Action::Quarantine(state) => {
                    let now = self.now();
                    self.context.shared.quarantine().apply_state(now, state);
                }
                Action::Audit(event) => self.record_audit_event(&event),
                other => tracing::debug!(?other, "unsupported action ignored"),
            }
        }
    }
}

/// Counts a state change in the metrics.
fn count_audit_event(event: &AuditEvent) {
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
            counter!(names::OLDER_IGNORED, "stream" => stream.as_str()).increment(1);
        }
        AuditEvent::BodyRefused { stream, .. } => {
            counter!(names::BODIES_REFUSED, "stream" => stream.as_str()).increment(1);
        }
        AuditEvent::Replaced { .. } => counter!(names::REPLACED).increment(1),
        AuditEvent::Paused { .. } => counter!(names::PAUSES).increment(1),
        AuditEvent::TargetCrashed { .. } => counter!(names::TARGET_CRASHES).increment(1),
        AuditEvent::CatchUpRead { .. } => counter!(names::CATCH_UPS).increment(1),
        AuditEvent::Quarantined { .. } => counter!(names::QUARANTINED).increment(1),
        AuditEvent::TargetLimitChanged { limit } => {
            gauge!(names::TARGET_LIMIT).set(limit.map_or(0.0, RequestRate::per_s));
        }
        _ => {}
    }
}
