//! Connections of callers.

use std::sync::Arc;
use std::time::Duration;

use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::conn::auto;
use sassafrasspool_core::CallerLimits;
use sassafrasspool_wire::Tapped;
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

/// How often a connection with requests in line is looked at, if more have arrived behind
/// those.
const LOOK_AGAIN: Duration = Duration::from_millis(100);

/// Serves a connection by the version of HTTP that the caller speaks.
pub(super) async fn serve(worker: Arc<Worker>, stream: TcpStream, side: Side) {
    let hub = Arc::clone(&worker.hub);
    let ahead = Ahead::new(Arc::clone(&worker), side);
    let requests = Requests::of_caller(worker, side, ahead.clone());
    let builder = builder(&limits(&hub));
    let stream = Arc::new(stream);
    let io = Tapped::new(SharedStream::new(&stream), ahead.clone());
    let conn = builder.serve_connection(TokioIo::new(io), requests);
    tokio::select! {
        biased;
        () = until_closed(&hub.closing, &hub.cut, conn) => {}
        // What is in flight ends with the connection.
        () = caller_left(&stream, &ahead) => {}
    }
}

/// Waits until the caller has closed a connection on which requests are in line.
///
/// The library reads no more of a connection while a whole request lies in its buffer, so
/// that it sees no close behind it: what such callers had asked for ran on to its deadline.
async fn caller_left(stream: &TcpStream, ahead: &Ahead) {
    loop {
        ahead.in_line().await;
        let left = match stream.peek(&mut [0]).await {
            Ok(n) => n == 0,
            Err(_) => true,
        };
        if left && ahead.is_in_line() {
            return;
        }
        tokio::time::sleep(LOOK_AGAIN).await;
    }
}

/// What callers may send, by what is in force as the connection is taken.
fn limits(hub: &Hub) -> CallerLimits {
    let routes = hub.shared.routes();
    routes.map_or_else(CallerLimits::default, |routes| {
        *routes.view.snapshot.callers()
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
