//! Addresses that nodes can be started on again.

use std::sync::LazyLock;
use std::sync::Mutex;
use std::sync::PoisonError;

use miette::IntoDiagnostic;
use sassafrasspool_node::NodeAddrs;

use crate::load::Ports;

/// All fleets of the process draw from here, so that no two of them are given
/// one port in the moment before it is listened on.
static PORTS: LazyLock<Mutex<Ports>> = LazyLock::new(Mutex::default);

/// Addresses for one node. They are below the ports that the system gives to
/// outgoing connections: such a connection could take a stopped node's port,
/// and the node couldn't be started again.
pub(crate) fn draw() -> miette::Result<NodeAddrs> {
    let mut ports = PORTS.lock().unwrap_or_else(PoisonError::into_inner);
    let mut take = || ports.take().into_diagnostic();
    Ok(NodeAddrs {
        ingress: take()?,
        egress: take()?,
        traffic: take()?,
        control: take()?,
        admin: take()?,
    })
}
