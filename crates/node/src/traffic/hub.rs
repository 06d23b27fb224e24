//! What the traffic threads of one node share.

use std::sync::Arc;

use sassafrasspool_core::DomainName;
use sassafrasspool_core::Phase;
use sassafrasspool_core::ServiceName;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::admission::Admission;
use super::parents::Parents;
use super::target::Pool;
use crate::Settings;
use crate::Shared;

/// One node's traffic side.
#[derive(Debug)]
pub(super) struct Hub {
    pub(super) shared: Arc<Shared>,
    /// The service of the own target.
    pub(super) service: ServiceName,
    /// The failure domain of the node.
    pub(super) domain: DomainName,
    pub(super) pool: Arc<Pool>,
    pub(super) admission: Admission,
    pub(super) parents: Parents,
    /// Cancelled when connections are to close.
    pub(super) cancel: CancellationToken,
    /// Cancelled when connections are to be cut.
    pub(super) cut: CancellationToken,
    /// The connections that are served.
    pub(super) connections: TaskTracker,
}

impl Hub {
    pub(super) fn new(cfg: &Settings, shared: Arc<Shared>, cancel: CancellationToken) -> Hub {
        let limit = cfg.target.slots.min(cfg.target.connections);
        Hub {
            shared,
            service: cfg.service.clone(),
            domain: cfg.domain.clone(),
            pool: Pool::new(cfg.target.addr, limit),
            admission: Admission::new(cfg.target.slots),
            parents: Parents::default(),
            cancel,
            cut: CancellationToken::new(),
            connections: TaskTracker::new(),
        }
    }

    /// Whether the own endpoint takes no new work any more.
    pub(super) fn is_leaving(&self) -> bool {
        self.shared.phase() >= Phase::Draining
    }
}
