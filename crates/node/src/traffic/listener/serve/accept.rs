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
    match TcpListener::from_std(listener) {
        Ok(listener) => {
            accept_until_closed(&worker, &listener, port).await;
            accept_rest(&worker, listener, port);
        }
        Err(err) => tracing::error!(%err, ?port, "cannot listen"),
    }
}

async fn accept_until_closed(worker: &Arc<Worker>, listener: &TcpListener, port: Port) {
    let closing = worker.hub.closing.clone();
    let mut closed = pin!(closing.cancelled());
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut closed => return,
        };
        match accepted {
            Ok((stream, _)) => serve(worker, stream, port),
            Err(err) => {
                tracing::debug!(%err, "cannot accept");
                tokio::time::sleep(ACCEPT_REST).await;
            }
        }
    }
}

/// Accepts what has connected before the listener closes.
///
/// The kernel resets connections that it holds for a listener that closes,
/// whatever their callers have sent. They couldn't tell that it was not run.
fn accept_rest(worker: &Arc<Worker>, listener: TcpListener, port: Port) {
    let Ok(listener) = listener.into_std() else {
        return;
    };
    while let Ok((stream, _)) = listener.accept() {
        let stream = stream.set_nonblocking(true).map(|()| stream);
        if let Ok(stream) = stream.and_then(TcpStream::from_std) {
            serve(worker, stream, port);
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
