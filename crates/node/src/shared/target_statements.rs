//! What the local target states about itself in its answers.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::time::Duration;

use sassafrasspool_core::AuditEvent;
use sassafrasspool_core::RequestRate;
use sassafrasspool_core::TargetLimitTracker;
use sassafrasspool_core::Tick;

use super::routing::DEPARTURE_GRACE;
use crate::control::ControlEvent;
use crate::control::ControlHandle;

#[cfg(test)]
mod tests;

/// The shortest time between two audit events about the limit. A target may state another
/// limit in each answer.
const MIN_AUDIT_INTERVAL: Duration = Duration::from_secs(1);

/// What the local target states about itself in its answers: its rate limit, and that it
/// leaves.
#[derive(Debug, Default)]
pub(crate) struct TargetStatements {
    state: Mutex<State>,
    /// Receives audit events; unset in a node without a control side.
    control: OnceLock<ControlHandle>,
}

#[derive(Debug, Default)]
struct State {
    limit: TargetLimitTracker,
    audited: Audited,
    /// When the target first stated that it leaves. It never takes that back.
    leaving_since: Option<Tick>,
}

impl TargetStatements {
    /// Sets the control side, which receives audit events.
    pub(crate) fn set_control(&self, control: ControlHandle) {
        // A node has one control side from its start to its end.
        let _ = self.control.set(control);
    }

    /// The rate limit in force.
    pub(crate) fn limit(&self) -> Option<RequestRate> {
        self.lock().limit.limit()
    }

    /// Records the limit that an answer states to a request that was sent at `sent_at`.
    pub(crate) fn record_limit(&self, now: Tick, sent_at: Tick, stated: Option<RequestRate>) {
        self.update_limit(now, |limit| {
            limit.record_answer(now, sent_at, stated);
        });
    }

    /// Applies the limit that a caller's node received, until the target has answered.
    pub(crate) fn adopt_limit(&self, now: Tick, known: RequestRate) {
        self.update_limit(now, |limit| {
            limit.adopt(known);
        });
    }

    /// Records that an answer states that the target leaves.
    pub(crate) fn record_leaving(&self, now: Tick) {
        let is_first = {
            let mut state = self.lock();
            let is_first = state.leaving_since.is_none();
            state.leaving_since.get_or_insert(now);
            is_first
        };
        if is_first {
            self.audit(AuditEvent::TargetLeaving);
        }
    }

    /// Whether the target stated long enough ago that it leaves to get no more requests.
    pub(crate) fn has_departed(&self, now: Tick) -> bool {
        let since = self.lock().leaving_since;
        since.is_some_and(|since| now.since(since) >= DEPARTURE_GRACE)
    }

    /// Forgets what a target stated that was replaced by another process.
    pub(crate) fn reset(&self, now: Tick) {
        self.lock().leaving_since = None;
        self.update_limit(now, |limit| {
            limit.reset();
        });
    }

    fn update_limit(&self, now: Tick, change: impl FnOnce(&mut TargetLimitTracker)) {
        let due = {
            let mut state = self.lock();
            change(&mut state.limit);
            let limit = state.limit.limit();
            state.audited.take_due(now, limit)
        };
        if let Some(limit) = due {
            self.audit(AuditEvent::TargetLimitChanged { limit });
        }
    }

    fn audit(&self, event: AuditEvent) {
        let Some(control) = self.control.get() else {
            return;
        };
        if !control.try_send(ControlEvent::Audit(event)) {
            tracing::debug!("a statement of the target isn't audited: the control queue is full");
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // No update of the state can panic halfway.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The limit in the last audit event.
#[derive(Debug, Default)]
struct Audited {
    limit: Option<RequestRate>,
    at: Option<Tick>,
}

impl Audited {
    /// The limit for an audit event, if one is due.
    fn take_due(&mut self, now: Tick, limit: Option<RequestRate>) -> Option<Option<RequestRate>> {
        let is_early = self.at.is_some_and(|at| now.since(at) < MIN_AUDIT_INTERVAL);
        if limit == self.limit || is_early {
            return None;
        }
        self.limit = limit;
        self.at = Some(now);
        Some(limit)
    }
}
