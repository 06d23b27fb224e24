//! The three listening sockets of a node's traffic side.

use std::net::SocketAddr;
use std::net::TcpListener;

use sassafrasspool_core::Error;
use sassafrasspool_core::Result;
use sassafrasspool_core::Step;

use crate::settings::Listen;
use crate::traffic::listener::serve::bind;

/// Where the traffic side listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TrafficAddrs {
    /// For callers from outside, such as clients.
    pub ingress: SocketAddr,
    /// For calls that the own target makes; the ingress if they share it.
    pub egress: SocketAddr,
    /// For other nodes.
    pub traffic: SocketAddr,
}

/// The sockets.
#[derive(Debug)]
pub(in crate::traffic) struct Listeners {
    pub(in crate::traffic) ingress: TcpListener,
    pub(in crate::traffic) egress: Option<TcpListener>,
    pub(in crate::traffic) traffic: TcpListener,
    addrs: TrafficAddrs,
}

impl Listeners {
    /// Opens all three.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound.
    pub(in crate::traffic) fn bind(listen: &Listen) -> Result<Listeners> {
        let ingress = bind(listen.ingress)?;
        let egress = listen.egress.map(bind).transpose()?;
        let traffic = bind(listen.traffic)?;
        let shared = addr_of(&ingress)?;
        let own = egress.as_ref().map(addr_of).transpose()?;
        let addrs = TrafficAddrs {
            ingress: shared,
            egress: own.unwrap_or(shared),
            traffic: addr_of(&traffic)?,
        };
        Ok(Listeners {
            ingress,
            egress,
            traffic,
            addrs,
        })
    }

    /// The addresses that were bound.
    pub(in crate::traffic) fn addrs(&self) -> TrafficAddrs {
        self.addrs
    }

    /// The same sockets for one more thread: whichever thread is free accepts.
    ///
    /// # Errors
    ///
    /// Fails if there are no file descriptors left.
    pub(in crate::traffic) fn try_clone(&self) -> Result<Listeners> {
        let egress = self.egress.as_ref().map(TcpListener::try_clone);
        Ok(Listeners {
            ingress: self.ingress.try_clone().map_err(failed)?,
            egress: egress.transpose().map_err(failed)?,
            traffic: self.traffic.try_clone().map_err(failed)?,
            addrs: self.addrs,
        })
    }
}

fn addr_of(listener: &TcpListener) -> Result<SocketAddr> {
    listener.local_addr().map_err(failed)
}

fn failed(err: std::io::Error) -> Error {
    Error::new(Step::Connect, "cannot use a listener").with_cause(err)
}
