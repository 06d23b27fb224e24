//! Binds listening sockets and accepts connections.

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

/// Delay after a failed accept. Failures such as a lack of file descriptors recur at once,
/// and a loop without a delay would keep the thread from the requests that could free
/// some.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Binds a non-blocking listening socket.
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

/// Accepts connections until the node closes them, then those in the backlog.
pub(in crate::traffic) async fn accept(worker: Arc<Worker>, listener: StdListener, port: Port) {
    match TcpListener::from_std(listener) {
        Ok(listener) => {
            accept_until_closed(&worker, &listener, port).await;
            accept_backlog(&worker, listener, port);
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
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Accepts the connections in the backlog before the listener closes.
///
/// When a listener closes, the kernel resets the connections in its backlog, whatever
/// their callers have sent. The callers couldn't infer that their requests weren't run.
fn accept_backlog(worker: &Arc<Worker>, listener: TcpListener, port: Port) {
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
    // Without this option the kernel may delay small answers.
    let _ = stream.set_nodelay(true);
    let connections = &worker.hub.connections;
    match port {
        Port::Caller(port) => connections.spawn(caller::serve(Arc::clone(worker), stream, port)),
        Port::Peer => connections.spawn(peer::serve(Arc::clone(worker), stream)),
    };
}
