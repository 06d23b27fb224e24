//! Endpoint states: this node's own, and those received from others.

use std::time::Duration;

use super::SpreadMachine;
use super::announce::MAX_ANNOUNCED_STATES;
use crate::Action;
use crate::AuditEvent;
use crate::EndpointState;
use crate::Origin;
use crate::Phase;
use crate::Tick;
use crate::membership::MergeOutcome;

/// How long after its start a node raises its incarnation above former ones.
const INCARNATION_CLAIM_PERIOD: Duration = Duration::from_secs(60);

impl SpreadMachine {
    /// Handles a new phase of the local endpoint.
    pub(super) fn enter_phase(&mut self, now: Tick, phase: Phase, out: &mut Vec<Action>) {
        if self.own_state.phase == phase {
            return;
        }
        self.own_state.phase = phase;
        self.own_state.sequence += 1;
        self.announce_own_state(now, out);
    }

    /// Merges endpoint states received from others.
    ///
    /// A few states are new and are forwarded. Many at once come from a
    /// comparison, for instance when this node has just joined: if they were
    /// forwarded, each joining node would make the whole fleet send all its
    /// states.
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
                MergeOutcome::Newer(_) if many => out.push(Action::Endpoint(state.clone())),
                MergeOutcome::Newer(before) => self.announce_state(now, state, before, origin, out),
                MergeOutcome::NotNewer | MergeOutcome::TableFull => {}
            }
        }
    }

    /// Resolves a received state of this node's own instance.
    ///
    /// Peers may remember a higher incarnation than this process has, if the
    /// clock was set back between two starts. All states of this process would
    /// then count as old, so that it raises its incarnation above the
    /// remembered one.
    ///
    /// Later on, a higher incarnation means that another process replaced this
    /// one, for instance because this one was stopped and presumed dead. If
    /// both raised their incarnations above each other, they would never stop.
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
        if let MergeOutcome::Newer(before) = self.members.merge(now, &own, list) {
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
        // Leaving endpoints are sent work until all nodes have the state: no
        // linger.
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
