//! Requests of a connection.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;

use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::service::Service;

use super::Port;
use crate::traffic::answer::Answer;
use crate::traffic::caller_side;
use crate::traffic::peer_side;
use crate::traffic::worker::Worker;

/// Answers the requests of one connection.
#[derive(Debug)]
pub(super) struct Requests {
    worker: Arc<Worker>,
    port: Port,
}

impl Requests {
    pub(super) fn new(worker: Arc<Worker>, port: Port) -> Requests {
        Requests { worker, port }
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
        match self.port {
            Port::Caller(side) => {
                Box::pin(async move { Ok(caller_side::serve(&worker, side, req).await) })
            }
            Port::Peer => Box::pin(async move { Ok(peer_side::serve(&worker, req).await) }),
        }
    }
}
