//! Requests of a connection.

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

use super::ahead::Ahead;
use crate::traffic::answer::Answer;
use crate::traffic::inbound::peer_side;
use crate::traffic::outbound::caller_side;
use crate::traffic::outbound::caller_side::Side;
use crate::traffic::payload::Payload;
use crate::traffic::worker::Worker;

/// Answers the requests of one connection.
#[derive(Debug)]
pub(super) struct Requests {
    worker: Arc<Worker>,
    from: Sender,
}

/// Who sends the requests.
#[derive(Debug)]
enum Sender {
    /// A caller, with what was begun before its turn.
    Caller(Side, Ahead),
    /// Another node.
    Peer,
}

impl Requests {
    pub(super) fn of_caller(worker: Arc<Worker>, side: Side, ahead: Ahead) -> Requests {
        let from = Sender::Caller(side, ahead);
        Requests { worker, from }
    }

    pub(super) fn of_peer(worker: Arc<Worker>) -> Requests {
        let from = Sender::Peer;
        Requests { worker, from }
    }
}

impl Service<Request<Incoming>> for Requests {
    type Response = Response<Answer>;
    type Error = Infallible;
    /// Boxed because HTTP/2 moves it by value, into a task of its own and out
    /// of it, and it is large.
    type Future = Pin<Box<dyn Future<Output = Result<Response<Answer>, Infallible>> + Send>>;

    fn call(&self, req: Request<Incoming>) -> Self::Future {
        let worker = Arc::clone(&self.worker);
        match &self.from {
            Sender::Caller(side, ahead) => {
                let (side, ahead) = (*side, ahead.clone());
                Box::pin(async move { Ok(answer_caller(&worker, side, ahead, req).await) })
            }
            Sender::Peer => Box::pin(async move { Ok(peer_side::serve(&worker, req).await) }),
        }
    }
}

async fn answer_caller(
    worker: &Worker,
    side: Side,
    ahead: Ahead,
    req: Request<Incoming>,
) -> Response<Answer> {
    // Over HTTP/2 requests don't wait for one another.
    let taken = (req.version() != Version::HTTP_2).then(|| ahead.take());
    let (begun, behind) = taken.map_or((None, None), |(begun, behind)| (begun, Some(behind)));
    let begun = match begun {
        // One that ended without an answer may run again.
        Some(begun) => begun.await.ok(),
        None => None,
    };
    let mut res = match begun {
        Some(res) => res,
        None => caller_side::serve(worker, side, req.map(Payload::stream)).await,
    };
    if worker.hub.sends_callers_away() && !ahead.has_begun() {
        // Over HTTP/2 the header is left out and the connection told by itself.
        let close = HeaderValue::from_static("close");
        res.headers_mut().insert(header::CONNECTION, close);
    }
    res.map(|body| body.before(behind))
}
