//! Listeners.

use std::net::SocketAddr;
use std::net::TcpListener as StdListener;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use sassafrasspool_core::Error;
use sassafrasspool_core::Result;
use sassafrasspool_core::Step;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use super::Port;
use super::caller;
use super::peer;
use crate::traffic::worker::Worker;

/// How long accepting rests after it failed. Failures such as a want of file
/// descriptors come back at once, and a loop without a rest would take the
/// thread from the requests that could free some.
const ACCEPT_REST: Duration = Duration::from_millis(50);

/// Opens a listening socket.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub(in crate::traffic) fn bind(addr: SocketAddr) -> Result<StdListener> {
    let fail = |e| Error::new(Step::Connect, format!("cannot listen on {addr}")).with_cause(e);
    let listener = StdListener::bind(addr).map_err(fail)?;
    listener.set_nonblocking(true).map_err(fail)?;
    Ok(listener)
}

/// Accepts until the node closes.
pub(in crate::traffic) async fn accept(worker: Arc<Worker>, listener: StdListener, port: Port) {
    let listener = match TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(err) => {
            tracing::error!(%err, ?port, "cannot listen");
            return;
        }
    };
    let closing = worker.hub.closing.clone();
    let mut closed = pin!(closing.cancelled());
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut closed => return,
        };
        match accepted {
            Ok((stream, _)) => serve(&worker, stream, port),
            Err(err) => {
                tracing::debug!(%err, "cannot accept");
                tokio::time::sleep(ACCEPT_REST).await;
            }
        }
    }
}

fn serve(worker: &Arc<Worker>, stream: TcpStream, port: Port) {
    // Without it the kernel may hold back small answers.
    let _ = stream.set_nodelay(true);
    let connections = &worker.hub.connections;
    match port {
        Port::Caller(side) => connections.spawn(caller::serve(Arc::clone(worker), stream, side)),
        Port::Peer => connections.spawn(peer::serve(Arc::clone(worker), stream)),
    };
}
