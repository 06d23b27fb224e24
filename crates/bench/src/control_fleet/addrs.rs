//! Listen addresses on which a node can be restarted.

use std::sync::LazyLock;
use std::sync::Mutex;
use std::sync::PoisonError;

use miette::IntoDiagnostic;
use sassafrasspool_node::NodeAddrs;

use crate::load::Ports;

/// Port allocator that all fleets of the process share. Two fleets never get
/// the same port before one of them listens on it.
static PORTS: LazyLock<Mutex<Ports>> = LazyLock::new(Mutex::default);

/// Allocates the addresses of one node. Their ports are below the ephemeral
/// port range: an outgoing connection could otherwise take the port of a
/// stopped node, and the node couldn't be restarted.
pub(crate) fn allocate() -> miette::Result<NodeAddrs> {
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
