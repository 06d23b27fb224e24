//! Listeners and the connections that they accept.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::net::TcpListener as StdListener;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::conn::auto;
use sassafrasspool_core::Error;
use sassafrasspool_core::Result;
use sassafrasspool_core::Step;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use super::answer::Answer;
use super::bounds::CONNECTION_WINDOW;
use super::bounds::HEAD_TIMEOUT;
use super::bounds::MAX_HEAD_BYTES;
use super::bounds::MAX_STREAMS;
use super::bounds::STREAM_WINDOW;
use super::caller_side;
use super::caller_side::Side;
use super::peer_side;
use super::worker::Worker;

/// How long accepting rests after it failed. Failures such as a want of file
/// descriptors come back at once, and a loop without a rest would take the
/// thread from the requests that could free some.
const ACCEPT_REST: Duration = Duration::from_millis(50);

/// Who connects to a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Port {
    /// Callers, by HTTP/1.1 or HTTP/2.
    Caller(Side),
    /// Other nodes, by HTTP/2.
    Peer,
}

/// Opens a listening socket.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub(super) fn bind(addr: SocketAddr) -> Result<StdListener> {
    let fail = |e| Error::new(Step::Connect, format!("cannot listen on {addr}")).with_cause(e);
    let listener = StdListener::bind(addr).map_err(fail)?;
    listener.set_nonblocking(true).map_err(fail)?;
    Ok(listener)
}

/// Accepts until the node's token is cancelled.
pub(super) async fn accept(worker: Arc<Worker>, listener: StdListener, port: Port) {
    let listener = match TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(err) => {
            tracing::error!(%err, ?port, "cannot listen");
            return;
        }
    };
    let cancel = worker.hub.cancel.clone();
    let mut cancelled = pin!(cancel.cancelled());
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut cancelled => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let served = serve(Arc::clone(&worker), stream, port);
                worker.hub.connections.spawn(served);
            }
            Err(err) => {
                tracing::debug!(%err, "cannot accept");
                tokio::time::sleep(ACCEPT_REST).await;
            }
        }
    }
}

async fn serve(worker: Arc<Worker>, stream: TcpStream, port: Port) {
    // Without it the kernel may hold back small answers.
    let _ = stream.set_nodelay(true);
    let cancel = worker.hub.cancel.clone();
    let cut = worker.hub.cut.clone();
    let service = service_fn(move |req| answer(Arc::clone(&worker), port, req));
    let builder = builder(port);
    let conn = builder.serve_connection(TokioIo::new(stream), service);
    let mut conn = pin!(conn);
    let ended = tokio::select! {
        ended = conn.as_mut() => Some(ended),
        () = cancel.cancelled() => None,
    };
    let ended = match ended {
        Some(ended) => ended,
        None => {
            conn.as_mut().graceful_shutdown();
            tokio::select! {
                ended = conn => ended,
                () = cut.cancelled() => return,
            }
        }
    };
    if let Err(err) = ended {
        tracing::debug!(err, ?port, "a connection failed");
    }
}

async fn answer(
    worker: Arc<Worker>,
    port: Port,
    req: Request<Incoming>,
) -> Result<Response<Answer>, Infallible> {
    Ok(match port {
        Port::Caller(side) => caller_side::serve(&worker, side, req).await,
        Port::Peer => peer_side::serve(&worker, req).await,
    })
}

fn builder(port: Port) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_STREAMS)
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .max_header_list_size(u32::try_from(MAX_HEAD_BYTES).unwrap_or(u32::MAX));
    match port {
        Port::Caller(_) => builder,
        Port::Peer => builder.http2_only(),
    }
}
