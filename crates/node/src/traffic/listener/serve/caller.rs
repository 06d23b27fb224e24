//! Connections of callers.

use std::sync::Arc;
use std::time::Duration;

use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::conn::auto;
use sassafrasspool_core::CallerLimits;
use sassafrasspool_wire::Tapped;
use tokio::io::Interest;
use tokio::net::TcpStream;

use super::ahead::Ahead;
use super::service::Requests;
use super::shared_stream::SharedStream;
use super::until_closed::until_closed;
use crate::traffic::bounds::CONNECTION_WINDOW;
use crate::traffic::bounds::MAX_HEAD_BYTES;
use crate::traffic::bounds::MAX_STREAMS;
use crate::traffic::bounds::MIN_HEAD_BUFFER;
use crate::traffic::bounds::STREAM_WINDOW;
use crate::traffic::hub::Hub;
use crate::traffic::outbound::caller_side::Side;
use crate::traffic::worker::Worker;

/// How long the library may take to see by itself that a caller has closed its connection.
const CLOSE_GRACE: Duration = Duration::from_millis(100);

/// Serves a connection by the version of HTTP that the caller speaks.
pub(super) async fn serve(worker: Arc<Worker>, stream: TcpStream, side: Side) {
    let hub = Arc::clone(&worker.hub);
    let ahead = Ahead::new(Arc::clone(&worker), side);
    let requests = Requests::of_caller(worker, side, ahead.clone());
    let builder = builder(&limits(&hub));
    let stream = Arc::new(stream);
    let io = Tapped::new(SharedStream::new(&stream), ahead);
    let conn = builder.serve_connection(TokioIo::new(io), requests);
    tokio::select! {
        biased;
        () = until_closed(&hub.closing, &hub.cut, conn) => {}
        // What is in flight ends with the connection.
        () = caller_left(&stream) => {}
    }
}

/// Waits until the caller has closed the connection, whether or not all that it sent
/// before has been read.
///
/// The library reads no more of a connection while its buffer holds bytes behind the
/// request that is being answered, so that it doesn't see the end of such a connection.
async fn caller_left(stream: &TcpStream) {
    // A wait for `READABLE` would return at once as long as bytes lie unread. `PRIORITY`
    // waits for the end of the stream as well, and urgent data are never registered for.
    match stream.ready(Interest::PRIORITY).await {
        Ok(_) => tokio::time::sleep(CLOSE_GRACE).await,
        // The runtime is shutting down, and the connection ends with it.
        Err(_) => std::future::pending().await,
    }
}

/// What callers may send, by what is in force as the connection is taken.
fn limits(hub: &Hub) -> CallerLimits {
    let routes = hub.shared.routes();
    routes.map_or_else(CallerLimits::default, |routes| {
        *routes.view.snapshot.caller_limits()
    })
}

fn builder(limits: &CallerLimits) -> auto::Builder<TokioExecutor> {
    let head_bytes = usize::try_from(limits.head_bytes).unwrap_or(MAX_HEAD_BYTES);
    let head_bytes = head_bytes.max(MIN_HEAD_BUFFER);
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        // The library counts the wait for a request's first byte as a part of
        // the time for its head, so that the longer of both has to do.
        .header_read_timeout(limits.idle_timeout.max(limits.head_timeout))
        .max_buf_size(head_bytes);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_STREAMS)
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .max_header_list_size(limits.head_bytes);
    builder
}
