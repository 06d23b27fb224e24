//! The three listening sockets of a node's traffic side.

use std::net::SocketAddr;
use std::net::TcpListener;

use sassafrasspool_core::Error;
use sassafrasspool_core::Result;
use sassafrasspool_core::Step;

use crate::settings::Listen;
use crate::traffic::listener::serve::bind;

/// The addresses that the traffic side listens on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TrafficAddrs {
    /// For callers from outside, such as clients.
    pub ingress: SocketAddr,
    /// For calls of the local target; the same as `ingress` if they share a listener.
    pub egress: SocketAddr,
    /// For other nodes.
    pub traffic: SocketAddr,
}

/// The listening sockets for callers, for the local target and for other nodes.
#[derive(Debug)]
pub(in crate::traffic) struct Listeners {
    pub(in crate::traffic) ingress: TcpListener,
    pub(in crate::traffic) egress: Option<TcpListener>,
    pub(in crate::traffic) traffic: TcpListener,
    addrs: TrafficAddrs,
}

impl Listeners {
    /// Binds the configured addresses.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound.
    pub(in crate::traffic) fn bind(listen: &Listen) -> Result<Listeners> {
        let ingress = bind(listen.ingress)?;
        let egress = listen.egress.map(bind).transpose()?;
        let traffic = bind(listen.traffic)?;
        let ingress_addr = local_addr(&ingress)?;
        let egress_addr = egress.as_ref().map(local_addr).transpose()?;
        let addrs = TrafficAddrs {
            ingress: ingress_addr,
            egress: egress_addr.unwrap_or(ingress_addr),
            traffic: local_addr(&traffic)?,
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

    /// The same sockets for another thread. Whichever thread is idle accepts a connection.
    ///
    /// # Errors
    ///
    /// Fails if no file descriptors are left.
    pub(in crate::traffic) fn try_clone(&self) -> Result<Listeners> {
        let egress = self.egress.as_ref().map(TcpListener::try_clone);
        Ok(Listeners {
            ingress: self.ingress.try_clone().map_err(listener_error)?,
            egress: egress.transpose().map_err(listener_error)?,
            traffic: self.traffic.try_clone().map_err(listener_error)?,
            addrs: self.addrs,
        })
    }
}

fn local_addr(listener: &TcpListener) -> Result<SocketAddr> {
    listener.local_addr().map_err(listener_error)
}

fn listener_error(err: std::io::Error) -> Error {
    Error::new(Step::Connect, "cannot use a listener").with_cause(err)
}
