//! Where a node listens.

use std::net::SocketAddr;

use sassafrasspool_core::Faults;
use sassafrasspool_core::yaml::Table;

use super::value::addr;
use super::value::loopback;

/// The node's listening addresses; port 0 takes any free port.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Listen {
    /// HTTP for callers from outside.
    pub ingress: SocketAddr,
    /// HTTP for the calls of the own target; absent if it makes them where
    /// callers do.
    pub egress: Option<SocketAddr>,
    /// HTTP/2 for other nodes.
    pub traffic: SocketAddr,
    /// Control messages of other nodes.
    pub control: SocketAddr,
    /// HTTP for operators; a loopback address.
    pub admin: SocketAddr,
    /// HTTP for whoever asks whether the node takes callers.
    pub ready: Option<SocketAddr>,
    /// HTTP for the metrics alone, for collectors on other machines.
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
        if let Some(twice) = listen.twice() {
            let reason = format!("names {twice} for two listeners");
            faults.add_at(Some(place), "listen", "", reason);
        }
        Some(listen)
    }

    /// An address with a port of its own that two listeners would share.
    fn twice(&self) -> Option<SocketAddr> {
        let always = [self.ingress, self.traffic, self.control, self.admin];
        let at_times = [self.egress, self.ready, self.metrics]
            .into_iter()
            .flatten();
        let all: Vec<SocketAddr> = always.into_iter().chain(at_times).collect();
        let shared = |at: usize| all[at].port() != 0 && all[..at].contains(&all[at]);
        (0..all.len()).find(|&at| shared(at)).map(|at| all[at])
    }
}
