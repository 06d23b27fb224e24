//! Serves connections of other nodes.

use std::sync::Arc;

use hyper::server::conn::http2;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpStream;

use super::graceful_close::serve_until_closed;
use super::service::RequestService;
use crate::traffic::bounds::CONNECTION_WINDOW_BYTES;
use crate::traffic::bounds::MAX_PEER_HEAD_BYTES;
use crate::traffic::bounds::MAX_STREAMS;
use crate::traffic::bounds::UPLOAD_WINDOW_BYTES;
use crate::traffic::worker::Worker;

/// Serves a connection of another node.
pub(super) async fn serve(worker: Arc<Worker>, stream: TcpStream) {
    let hub = Arc::clone(&worker.hub);
    let service = RequestService::for_peer(worker);
    let conn = http2::Builder::new(TokioExecutor::new())
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_STREAMS)
        .initial_stream_window_size(UPLOAD_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_header_list_size(MAX_PEER_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    serve_until_closed(&hub.closing, &hub.abort, conn).await;
}
