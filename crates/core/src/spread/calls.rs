//! Calls that are in flight.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::Action;
use crate::Call;
use crate::CallId;
use crate::InstanceId;
use crate::PeerMessage;
use crate::Stream;
use crate::Tick;

/// The identity and control address of a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Address {
    /// The peer's instance id; absent if only the address is known.
    pub(super) id: Option<InstanceId>,
    /// The peer's address for control messages.
    pub(super) control: SocketAddr,
}

/// The purpose of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Purpose {
    Announce,
    /// An announcement to the successor.
    AnnounceToSuccessor,
    Sync,
    Heartbeat,
    Pull(Stream),
    Reconcile,
}

/// A call in flight.
#[derive(Debug)]
pub(super) struct PendingCall {
    pub(super) to: Address,
    pub(super) purpose: Purpose,
    pub(super) sent_at: Tick,
    deadline: Tick,
}

/// The calls in flight.
///
/// # Invariants
///
/// Ids grow with time and all calls have the same timeout, so that the call
/// with the lowest id expires first.
#[derive(Debug)]
pub(super) struct Calls {
    timeout: Duration,
    next_id: u64,
    pending: BTreeMap<CallId, PendingCall>,
}

impl Calls {
    pub(super) fn new(timeout: Duration) -> Calls {
        Calls {
            timeout,
            next_id: 0,
            pending: BTreeMap::new(),
        }
    }

    /// Sends a message to a peer.
    pub(super) fn send(
        &mut self,
        now: Tick,
        to: &Address,
        purpose: Purpose,
        message: PeerMessage,
        out: &mut Vec<Action>,
    ) {
        let id = CallId::new(self.next_id);
        self.next_id += 1;
        let pending = PendingCall {
            to: to.clone(),
            purpose,
            sent_at: now,
            deadline: now + self.timeout,
        };
        self.pending.insert(id, pending);
        out.push(Action::Send(Box::new(Call {
            id,
            peer: to.id.clone(),
            addr: to.control,
            message,
            timeout: self.timeout,
        })));
    }

    /// Removes the call of a reply or failure. Absent if the call was abandoned
    /// before, so that a late reply can't be taken for the reply to another
    /// call.
    pub(super) fn finish(&mut self, id: CallId) -> Option<PendingCall> {
        self.pending.remove(&id)
    }

    /// Removes a call whose deadline has passed.
    pub(super) fn take_expired(&mut self, now: Tick) -> Option<PendingCall> {
        let first = self.pending.first_entry()?;
        if first.get().deadline > now {
            return None;
        }
        Some(first.remove())
    }

    /// Whether a call of that purpose is in flight.
    pub(super) fn is_in_flight(&self, purpose: Purpose) -> bool {
        self.pending.values().any(|call| call.purpose == purpose)
    }

    /// When the next call expires.
    pub(super) fn next_deadline(&self) -> Option<Tick> {
        let first = self.pending.first_key_value()?;
        Some(first.1.deadline)
    }

    /// Abandons all calls.
    pub(super) fn clear(&mut self) {
        self.pending.clear();
    }
}
