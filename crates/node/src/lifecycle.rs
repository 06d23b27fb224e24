//! The life of the endpoint beside this node, as types: what isn't ready
//! can't drain back into being ready, and nothing follows the end.

use std::sync::Arc;

use sassafrasspool_core::Phase;

use crate::Shared;

/// The endpoint in the phase `P`, of which there is one in a node.
#[derive(Debug)]
pub(crate) struct LocalEndpoint<P> {
    shared: Arc<Shared>,
    _phase: P,
}

/// Its target or its node isn't ready yet.
#[derive(Debug)]
pub(crate) struct Starting;

/// It takes requests.
#[derive(Debug)]
pub(crate) struct Ready;

/// It finishes what it has.
#[derive(Debug)]
pub(crate) struct Draining;

/// It has ended.
#[derive(Debug)]
pub(crate) struct Gone;

impl<P> LocalEndpoint<P> {
    fn into<Q>(self, phase: Phase, next: Q) -> LocalEndpoint<Q> {
        // The traffic side sees it before any peer does: an endpoint that is
        // leaving refuses new work at once, whatever others still believe.
        self.shared.advance(phase);
        LocalEndpoint {
            shared: self.shared,
            _phase: next,
        }
    }

    /// Begins to drain, from wherever it is.
    fn leave(self) -> LocalEndpoint<Draining> {
        self.into(Phase::Draining, Draining)
    }
}

impl LocalEndpoint<Starting> {
    /// The endpoint at the node's start.
    pub(crate) fn new(shared: Arc<Shared>) -> LocalEndpoint<Starting> {
        LocalEndpoint {
            shared,
            _phase: Starting,
        }
    }

    /// Takes requests from now on.
    pub(crate) fn ready(self) -> LocalEndpoint<Ready> {
        self.into(Phase::Ready, Ready)
    }

    /// Is told to leave before it was ever ready.
    pub(crate) fn drain(self) -> LocalEndpoint<Draining> {
        self.leave()
    }
}

impl LocalEndpoint<Ready> {
    /// Takes nothing new from now on.
    pub(crate) fn drain(self) -> LocalEndpoint<Draining> {
        self.leave()
    }
}

impl LocalEndpoint<Draining> {
    /// Has finished what it had.
    pub(crate) fn end(self) -> LocalEndpoint<Gone> {
        self.into(Phase::Gone, Gone)
    }
}
