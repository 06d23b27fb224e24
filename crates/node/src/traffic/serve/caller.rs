//! Connections of callers.

use std::sync::Arc;

use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::conn::auto;
use tokio::net::TcpStream;

use super::Port;
use super::service::Requests;
use super::until_closed::until_closed;
use crate::traffic::bounds::CONNECTION_WINDOW;
use crate::traffic::bounds::HEAD_TIMEOUT;
use crate::traffic::bounds::MAX_HEAD_BYTES;
use crate::traffic::bounds::MAX_STREAMS;
use crate::traffic::bounds::STREAM_WINDOW;
use crate::traffic::caller_side::Side;
use crate::traffic::worker::Worker;

/// Serves a connection by the version of HTTP that the caller speaks.
pub(super) async fn serve(worker: Arc<Worker>, stream: TcpStream, side: Side) {
    let hub = Arc::clone(&worker.hub);
    let requests = Requests::new(worker, Port::Caller(side));
    let builder = builder();
    let conn = builder.serve_connection(TokioIo::new(stream), requests);
    until_closed(hub, conn).await;
}

fn builder() -> auto::Builder<TokioExecutor> {
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
    builder
}
