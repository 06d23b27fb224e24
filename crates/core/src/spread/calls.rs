//! Calls that wait for their answers.

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

/// A peer as it can be called.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Address {
    /// Its name, unless only its address is known.
    pub(super) id: Option<InstanceId>,
    /// Where it takes control messages.
    pub(super) control: SocketAddr,
}

/// What a call was for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Purpose {
    Announce,
    /// An announcement to the successor.
    AnnounceToSuccessor,
    Sync,
    Pull(Stream),
    Reconcile,
}

/// A call under way.
#[derive(Debug)]
pub(super) struct PendingCall {
    pub(super) to: Address,
    pub(super) purpose: Purpose,
    pub(super) sent_at: Tick,
    deadline: Tick,
}

/// The calls under way.
///
/// # Invariants
///
/// Ids grow with time and all calls have the same timeout, so that the first
/// is the first to fail.
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

    /// Calls a peer.
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

    /// The call that an answer or a failure belongs to; absent if it was given
    /// up before, so that a late answer can't be taken for another's.
    pub(super) fn finish(&mut self, id: CallId) -> Option<PendingCall> {
        self.pending.remove(&id)
    }

    /// A call whose time has passed.
    pub(super) fn take_expired(&mut self, now: Tick) -> Option<PendingCall> {
        let first = self.pending.first_entry()?;
        if first.get().deadline > now {
            return None;
        }
        Some(first.remove())
    }

    /// Whether something of that purpose is under way.
    pub(super) fn is_in_flight(&self, purpose: Purpose) -> bool {
        self.pending.values().any(|call| call.purpose == purpose)
    }

    /// When the next call fails.
    pub(super) fn next_deadline(&self) -> Option<Tick> {
        let first = self.pending.first_key_value()?;
        Some(first.1.deadline)
    }

    /// Gives up on all calls.
    pub(super) fn clear(&mut self) {
        self.pending.clear();
    }
}
