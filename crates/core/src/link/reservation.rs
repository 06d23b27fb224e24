//! The reservation of a link for an answer that hasn't begun.

use super::outgoing::Link;
use super::request::LinkRequest;
use super::state::ReservationKey;
use super::transfer::Transfer;
use crate::KindName;
use crate::Tick;

/// The reservation of a link for the large answer to a request that runs, or waits to run.
/// Dropping it releases the reservation.
#[derive(Debug)]
#[must_use = "dropping it releases the reservation"]
pub struct LinkReservation {
    link: Link,
    key: ReservationKey,
    kind: KindName,
    soft_deadline: Option<Tick>,
    deadline: Tick,
}

impl LinkReservation {
    pub(super) fn new(
        link: &Link,
        key: ReservationKey,
        request: &LinkRequest<'_>,
    ) -> LinkReservation {
        LinkReservation {
            link: link.clone(),
            key,
            kind: request.kind.clone(),
            soft_deadline: request.soft_deadline,
            deadline: request.deadline.tick(),
        }
    }

    /// The kind of the request.
    pub const fn kind(&self) -> &KindName {
        &self.kind
    }

    /// Adds the size of the successful answer to the averages by which answers are expected.
    pub fn record_size(&self, bytes: u64) {
        self.link.record_size(&self.kind, bytes);
    }

    /// Turns the reservation into the transfer of the answer, whose size is that of its kind if
    /// `size` is unknown.
    pub fn begin(self, now: Tick, size: Option<u64>) -> Transfer {
        let LinkReservation {
            link,
            kind,
            soft_deadline,
            deadline,
            ..
        } = &self;
        link.begin(now, kind, size, *soft_deadline, *deadline)
    }
}

impl Drop for LinkReservation {
    fn drop(&mut self) {
        self.link.update(|state| state.release(self.key));
    }
}
