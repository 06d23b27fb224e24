//! The log line of a large answer.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;
use sassafrasspool_core::KindName;
use sassafrasspool_core::Tick;
use sassafrasspool_wire::log::DELIVERED;
use sassafrasspool_wire::log::RequestLine;

use crate::Shared;
use crate::log::Rank;
use crate::log::micros;
use crate::log::unix_ms;

/// What a large answer waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WaitsFor {
    /// Further bytes of the target or of the other node.
    Source,
    /// A grant of the outgoing link.
    Link,
    /// The connection to the receiver, which accepts no bytes at present.
    Receiver,
}

/// Records what a large answer waited for, and logs it when the answer ends.
#[derive(Debug)]
pub(in crate::traffic) struct DeliveryLog {
    shared: Arc<Shared>,
    id: HeaderValue,
    kind: KindName,
    deadline: Tick,
    began_at: Tick,
    waits_for: WaitsFor,
    since: Tick,
    waited: [Duration; 3],
    sent: u64,
    is_complete: bool,
}

impl DeliveryLog {
    pub(in crate::traffic) fn new(
        shared: &Arc<Shared>,
        id: HeaderValue,
        kind: KindName,
        deadline: Tick,
    ) -> DeliveryLog {
        let now = shared.clock().now();
        DeliveryLog {
            shared: Arc::clone(shared),
            id,
            kind,
            deadline,
            began_at: now,
            waits_for: WaitsFor::Receiver,
            since: now,
            waited: [Duration::ZERO; 3],
            sent: 0,
            is_complete: false,
        }
    }

    /// Records what the answer waits for from now on.
    pub(super) fn record(&mut self, now: Tick, waits_for: WaitsFor) {
        self.waited[self.waits_for as usize] += now.since(self.since);
        self.since = now;
        self.waits_for = waits_for;
    }

    /// Counts bytes that were sent.
    pub(super) fn count(&mut self, bytes: usize) {
        self.sent += bytes as u64;
    }

    /// Records that the answer was sent to its end.
    pub(super) fn complete(&mut self) {
        self.is_complete = true;
    }
}

impl Drop for DeliveryLog {
    fn drop(&mut self) {
        let now = self.shared.clock().now();
        self.record(now, WaitsFor::Receiver);
        let (rank, outcome) = match self.is_complete {
            true => (Rank::Success, "answered"),
            false => (Rank::Failure, "cut"),
        };
        let line = RequestLine {
            unix_ms: unix_ms(),
            node: self.shared.me().as_str().into(),
            event: DELIVERED.into(),
            request: String::from_utf8_lossy(self.id.as_bytes()),
            kind: Some(self.kind.as_str().into()),
            outcome: outcome.into(),
            took_us: micros(now.since(self.began_at)),
            left_us: micros(self.deadline.since(now)),
            sent_bytes: Some(self.sent),
            delivery_us: Some(self.waited.map(micros)),
            ..RequestLine::default()
        };
        self.shared.log().write(rank, &line);
    }
}
