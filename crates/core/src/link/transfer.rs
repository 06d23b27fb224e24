//! A large answer on its way out.

use std::task::Waker;

use super::outgoing::Link;
use super::state::TransferKey;
use crate::Tick;

/// A large answer that is sent over a link. Dropping it ends the transfer.
#[derive(Debug)]
#[must_use = "dropping it ends the transfer"]
pub struct Transfer {
    link: Link,
    key: TransferKey,
}

impl Transfer {
    pub(super) fn new(link: &Link, key: TransferKey) -> Transfer {
        Transfer {
            link: link.clone(),
            key,
        }
    }

    /// How many of `wanted` bytes may be sent now. If none may, `waker` is woken when some may.
    ///
    /// It is only called while the receiver accepts bytes, so that a receiver that doesn't read
    /// holds back no other transfer.
    pub fn poll_grant(&mut self, now: Tick, wanted: usize, waker: &Waker) -> Option<usize> {
        self.link
            .update(|state| state.poll_grant(now, self.key, wanted, waker))
    }
}

impl Drop for Transfer {
    fn drop(&mut self) {
        self.link.update(|state| state.end(self.key));
    }
}
