//! Settings of a node's listening addresses.

use std::net::SocketAddr;

use sassafrasspool_core::Faults;
use sassafrasspool_core::yaml::Table;

use super::value::addr;
use super::value::loopback;

/// The node's listening addresses; port 0 selects any free port.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Listen {
    /// HTTP for callers from outside.
    pub ingress: SocketAddr,
    /// HTTP for calls of the local target; without it the target uses the ingress.
    pub egress: Option<SocketAddr>,
    /// HTTP/2 for other nodes.
    pub traffic: SocketAddr,
    /// Control messages from other nodes.
    pub control: SocketAddr,
    /// HTTP for operators; a loopback address.
    pub admin: SocketAddr,
    /// HTTP for readiness checks: whether the node accepts callers.
    pub ready: Option<SocketAddr>,
    /// HTTP for metrics only, for collectors on other machines.
    pub metrics: Option<SocketAddr>,
}

impl Listen {
    pub(super) fn read(mut table: Table<'_>, faults: &mut Faults) -> Option<Listen> {
        let ingress = table.text("ingress", faults, addr);
        let egress = table.optional_text("egress", faults, addr);
        let traffic = table.text("traffic", faults, addr);
        let control = table.text("control", faults, addr);
        let admin = table.text("admin", faults, loopback);
        let ready = table.optional_text("ready", faults, addr);
        let metrics = table.optional_text("metrics", faults, addr);
        let place = table.place();
        table.finish(faults);
        let listen = Listen {
            ingress: ingress?,
            egress,
            traffic: traffic?,
            control: control?,
            admin: admin?,
            ready,
            metrics,
        };
        if let Some(duplicate) = listen.duplicate_addr() {
            let reason = format!("names {duplicate} for two listeners");
            faults.add_at(Some(place), "listen", "", reason);
        }
        Some(listen)
    }

    /// An address with a fixed port that is set for two listeners.
    fn duplicate_addr(&self) -> Option<SocketAddr> {
        let required = [self.ingress, self.traffic, self.control, self.admin];
        let optional = [self.egress, self.ready, self.metrics]
            .into_iter()
            .flatten();
        let all: Vec<SocketAddr> = required.into_iter().chain(optional).collect();
        let is_duplicate = |at: usize| all[at].port() != 0 && all[..at].contains(&all[at]);
        (0..all.len())
            .find(|&at| is_duplicate(at))
            .map(|at| all[at])
    }
}
