//! Endpoint states: this node's own, and what others say of theirs.

use std::time::Duration;

use super::Spread;
use super::announce::MAX_ANNOUNCED_STATES;
use crate::Action;
use crate::AuditEvent;
use crate::EndpointState;
use crate::Origin;
use crate::Phase;
use crate::Tick;
use crate::membership::Merged;

/// A node that started at most so long ago steps above former incarnations.
const INCARNATION_CLAIM_PERIOD: Duration = Duration::from_secs(60);

impl Spread {
    /// The endpoint beside this node entered a phase.
    pub(super) fn enter_phase(&mut self, now: Tick, phase: Phase, out: &mut Vec<Action>) {
        if self.own_state.phase == phase {
            return;
        }
        self.own_state.phase = phase;
        self.own_state.sequence += 1;
        self.announce_own_state(now, out);
    }

    /// Takes in what others say of their endpoints.
    ///
    /// A few are news and told on. Many at once come from a comparison, as
    /// when this node has just joined: were they told on, each node that
    /// joins would make the whole fleet send all it knows.
    pub(super) fn merge_states(
        &mut self,
        now: Tick,
        states: &[EndpointState],
        origin: &Origin,
        out: &mut Vec<Action>,
    ) {
        let many = states.len() > MAX_ANNOUNCED_STATES;
        for state in states {
            if state.instance == self.local.id {
                self.resolve_own_state(now, state, out);
                continue;
            }
            let list = self.store.instances().map(AsRef::as_ref);
            match self.members.merge(now, state, list) {
                Merged::News(_) if many => out.push(Action::Endpoint(state.clone())),
                Merged::News(before) => self.announce_state(now, state, before, origin, out),
                Merged::Known | Merged::Full => {}
            }
        }
    }

    /// Peers may remember a higher incarnation than this one's, if the clock
    /// was set back between two starts. All that this process says would be
    /// taken for old; so it steps above what they remember.
    ///
    /// Later in its life a higher incarnation means that another process took
    /// its place, as when this one was stopped and taken for dead. Were both
    /// to step above each other, they would never stop.
    fn resolve_own_state(&mut self, now: Tick, received: &EndpointState, out: &mut Vec<Action>) {
        if !received.is_newer_than(&self.own_state) {
            return;
        }
        if now.since(self.started) < INCARNATION_CLAIM_PERIOD {
            self.own_state.incarnation = received.incarnation.saturating_add(1);
            self.own_state.sequence = 0;
            self.announce_own_state(now, out);
            return;
        }
        if self.replaced_by != Some(received.incarnation) {
            self.replaced_by = Some(received.incarnation);
            out.push(Action::Audit(AuditEvent::Replaced {
                state: received.clone(),
            }));
        }
    }

    fn announce_own_state(&mut self, now: Tick, out: &mut Vec<Action>) {
        let own = self.own_state.clone();
        let list = self.store.instances().map(AsRef::as_ref);
        if let Merged::News(before) = self.members.merge(now, &own, list) {
            let origin = Origin::Peer(self.local.id.clone());
            self.announce_state(now, &own, before, &origin, out);
        }
    }

    fn announce_state(
        &mut self,
        now: Tick,
        state: &EndpointState,
        before: Option<Phase>,
        origin: &Origin,
        out: &mut Vec<Action>,
    ) {
        // Those that leave are sent work until everybody knows: no linger.
        let due = match state.phase {
            Phase::Draining | Phase::Gone => now,
            Phase::Starting | Phase::Ready => now + self.cfg.state_linger,
        };
        self.gossip.queue_state(state.clone(), due);
        out.push(Action::Endpoint(state.clone()));
        if before != Some(state.phase) {
            out.push(Action::Audit(AuditEvent::Endpoint {
                state: state.clone(),
                before,
                origin: origin.clone(),
            }));
        }
    }
}
