//! Serves connections of callers.

use std::sync::Arc;
use std::time::Duration;

use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::conn::auto;
use sassafrasspool_wire::Observed;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

use super::graceful_close::serve_until_closed;
use super::late_request;
use super::limits_timer::LimitsTimer;
use super::pipelining::Pipeline;
use super::service::CallerConnection;
use super::service::RequestService;
use super::shared_stream::SharedStream;
use crate::traffic::bounds::CONNECTION_WINDOW_BYTES;
use crate::traffic::bounds::MAX_STREAMS;
use crate::traffic::bounds::MIN_HEAD_BUFFER_BYTES;
use crate::traffic::bounds::STREAM_WINDOW_BYTES;
use crate::traffic::hub::Hub;
use crate::traffic::outbound::caller_side::CallerPort;
use crate::traffic::worker::Worker;

/// Time for the HTTP library to detect by itself that a caller has closed its connection.
const CLOSE_GRACE: Duration = Duration::from_millis(100);

/// Serves a connection with the HTTP version that the caller uses.
pub(super) async fn serve(worker: Arc<Worker>, stream: TcpStream, port: CallerPort) {
    let hub = Arc::clone(&worker.hub);
    let pipeline = Pipeline::new(Arc::clone(&worker), port);
    let head_bytes = hub.caller_limits().head_bytes.max(MIN_HEAD_BUFFER_BYTES);
    let client = CallerConnection {
        port,
        pipeline: pipeline.clone(),
        head_bytes,
    };
    let service = RequestService::for_caller(Arc::clone(&worker), client);
    let builder = builder(&hub, head_bytes);
    let stream = Arc::new(stream);
    let io = SharedStream::new(&stream, hub.closing.clone());
    let io = Observed::new(io, pipeline.clone());
    let conn = builder.serve_connection(TokioIo::new(io), service);
    tokio::select! {
        biased;
        () = serve_until_closed(&hub.closing, &hub.abort, conn) => {}
        // The requests in flight end with the connection.
        () = caller_closed(&stream) => return,
    }
    if hub.closing.is_cancelled() && pipeline.awaits_request() {
        let stream = SharedStream::new(&stream, CancellationToken::new());
        late_request::refuse(&worker, port, stream).await;
    }
}

/// Waits until the caller has closed the connection, whether or not everything that it
/// sent before has been read.
///
/// While its buffer holds bytes after the request that is being answered, the HTTP library
/// doesn't read from the connection, so it doesn't detect that the connection has ended.
async fn caller_closed(stream: &TcpStream) {
    // A wait for `READABLE` would return at once while there are unread bytes. `PRIORITY`
    // also waits for the end of the stream, and urgent data are never registered for.
    match stream.ready(Interest::PRIORITY).await {
        Ok(_) => tokio::time::sleep(CLOSE_GRACE).await,
        // The runtime is shutting down, which ends the connection.
        Err(_) => std::future::pending().await,
    }
}

/// The settings of the HTTP library for a connection. They bound the memory of the connection;
/// the limits in force for callers are applied to each request.
fn builder(hub: &Arc<Hub>, head_bytes: u32) -> auto::Builder<TokioExecutor> {
    let timer = LimitsTimer::new(Arc::clone(hub));
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .header_read_timeout(timer.limit())
        .timer(timer)
        .max_buf_size(usize::try_from(head_bytes).unwrap_or(usize::MAX));
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_STREAMS)
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_header_list_size(head_bytes);
    builder
}
