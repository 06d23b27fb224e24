//! Answers the requests of a connection.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;

use http::HeaderValue;
use http::Request;
use http::Response;
use http::Version;
use http::header;
use hyper::body::Incoming;
use hyper::service::Service;

use super::pipelining::Pipeline;
use crate::traffic::answer_body::AnswerBody;
use crate::traffic::head;
use crate::traffic::inbound::peer_side;
use crate::traffic::outbound::caller_side;
use crate::traffic::outbound::caller_side::CallerPort;
use crate::traffic::payload::Payload;
use crate::traffic::worker::Worker;

/// Answers the requests of one connection.
#[derive(Debug)]
pub(super) struct RequestService {
    worker: Arc<Worker>,
    client: Client,
}

/// The client that sends the requests.
#[derive(Debug)]
enum Client {
    Caller(CallerConnection),
    /// Another node.
    Peer,
}

/// The connection of a caller.
#[derive(Debug, Clone)]
pub(super) struct CallerConnection {
    pub(super) port: CallerPort,
    /// Its pipelined requests that were started before their turn.
    pub(super) pipeline: Pipeline,
    /// The largest head that can be read on it.
    pub(super) head_bytes: u32,
}

impl RequestService {
    pub(super) fn for_caller(worker: Arc<Worker>, conn: CallerConnection) -> RequestService {
        let client = Client::Caller(conn);
        RequestService { worker, client }
    }

    pub(super) fn for_peer(worker: Arc<Worker>) -> RequestService {
        let client = Client::Peer;
        RequestService { worker, client }
    }
}

impl Service<Request<Incoming>> for RequestService {
    type Response = Response<AnswerBody>;
    type Error = Infallible;
    /// Boxed because it is large, and HTTP/2 moves it by value into its own task and out of
    /// it.
    type Future = Pin<Box<dyn Future<Output = Result<Response<AnswerBody>, Infallible>> + Send>>;

    fn call(&self, req: Request<Incoming>) -> Self::Future {
        let worker = Arc::clone(&self.worker);
        match &self.client {
            Client::Caller(conn) => {
                let conn = conn.clone();
                Box::pin(async move { Ok(answer_caller(&worker, conn, req).await) })
            }
            Client::Peer => Box::pin(async move { Ok(peer_side::serve(&worker, req).await) }),
        }
    }
}

async fn answer_caller(
    worker: &Worker,
    conn: CallerConnection,
    req: Request<Incoming>,
) -> Response<AnswerBody> {
    let CallerConnection {
        port,
        pipeline,
        head_bytes,
    } = conn;
    // Over HTTP/2, requests don't wait for one another.
    let taken = (req.version() != Version::HTTP_2).then(|| pipeline.take_next());
    if head::asks_to_close(&req) {
        pipeline.record_last_request();
    }
    let (started, answer_guard) =
        taken.map_or((None, None), |(started, guard)| (started, Some(guard)));
    let early_answer = match started {
        // A started request that ended without an answer may run again.
        Some(started) => started.await.ok(),
        None => None,
    };
    let mut res = match early_answer {
        Some(res) => res,
        None => caller_side::serve(worker, port, req.map(Payload::streaming)).await,
    };
    // A limit that was raised beyond the buffers of this connection needs another one.
    let is_outgrown = worker.hub.caller_limits().head_bytes > head_bytes;
    if (worker.hub.closes_caller_connections() || is_outgrown) && !pipeline.has_started() {
        // Over HTTP/2 the library omits the header and shuts the connection down itself.
        let close = HeaderValue::from_static("close");
        res.headers_mut().insert(header::CONNECTION, close);
    }
    if res.headers().contains_key(header::CONNECTION) {
        pipeline.record_last_request();
    }
    res.map(|body| body.with_pipeline_guard(answer_guard))
}
