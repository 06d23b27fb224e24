//! The phases of the local endpoint as types. The types allow only forward
//! transitions: a draining endpoint can't become ready again, and no phase
//! follows the last one.

use std::sync::Arc;

use sassafrasspool_core::Phase;

use crate::Shared;

/// The endpoint in the phase `P`. A node has one endpoint.
#[derive(Debug)]
pub(crate) struct LocalEndpoint<P> {
    shared: Arc<Shared>,
    _phase: P,
}

/// The target or the node isn't ready yet.
#[derive(Debug)]
pub(crate) struct Starting;

/// The endpoint accepts requests.
#[derive(Debug)]
pub(crate) struct Ready;

/// The endpoint finishes its requests and accepts no new ones.
#[derive(Debug)]
pub(crate) struct Draining;

/// The endpoint has ended.
#[derive(Debug)]
pub(crate) struct Gone;

impl<P> LocalEndpoint<P> {
    fn enter_phase<Q>(self, phase: Phase, next: Q) -> LocalEndpoint<Q> {
        // The traffic side gets the phase before any peer does: a draining
        // endpoint refuses new requests at once, also those of peers that still
        // hold its former phase.
        self.shared.advance_phase(phase);
        LocalEndpoint {
            shared: self.shared,
            _phase: next,
        }
    }

    /// Begins to drain, from any phase.
    fn begin_drain(self) -> LocalEndpoint<Draining> {
        self.enter_phase(Phase::Draining, Draining)
    }
}

impl LocalEndpoint<Starting> {
    /// The endpoint at the start of the node.
    pub(crate) fn new(shared: Arc<Shared>) -> LocalEndpoint<Starting> {
        LocalEndpoint {
            shared,
            _phase: Starting,
        }
    }

    /// Accepts requests from now on.
    pub(crate) fn become_ready(self) -> LocalEndpoint<Ready> {
        self.enter_phase(Phase::Ready, Ready)
    }

    /// Begins to drain without having been ready.
    pub(crate) fn drain(self) -> LocalEndpoint<Draining> {
        self.begin_drain()
    }
}

impl LocalEndpoint<Ready> {
    /// Accepts no new requests from now on.
    pub(crate) fn drain(self) -> LocalEndpoint<Draining> {
        self.begin_drain()
    }
}

impl LocalEndpoint<Draining> {
    /// Ends after its requests have finished.
    pub(crate) fn finish(self) -> LocalEndpoint<Gone> {
        self.enter_phase(Phase::Gone, Gone)
    }
}
