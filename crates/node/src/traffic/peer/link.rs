//! One connection to another node.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Instant;

use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::client::conn::http2;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use metrics::counter;
use sassafrasspool_core::Error;
use sassafrasspool_core::Result;
use sassafrasspool_core::Step;
use sassafrasspool_wire::error_chain;
use socket2::SockRef;
use tokio::net::TcpStream;

use super::stall_timer::StallTimer;
use crate::metrics::traffic;
use crate::reach::Reach;
use crate::traffic::bounds::CONNECT_TIMEOUT;
use crate::traffic::bounds::CONNECTION_WINDOW;
use crate::traffic::bounds::MAX_HEAD_BYTES;
use crate::traffic::bounds::PING_INTERVAL;
use crate::traffic::bounds::PING_TIMEOUT;
use crate::traffic::bounds::STREAM_WINDOW;
use crate::traffic::bounds::UNACKNOWLEDGED;
use crate::traffic::payload::Payload;

type Sender = http2::SendRequest<Payload>;

/// A connection that is opened when it is needed and again when it broke.
#[derive(Debug)]
pub(in crate::traffic) struct Link {
    addr: SocketAddr,
    reach: Reach,
    sender: Mutex<Option<Sender>>,
    /// Held by the one who connects, so that a herd opens one connection; when
    /// that failed last.
    connecting: tokio::sync::Mutex<Option<Instant>>,
}

/// How passing a request to another node failed.
#[derive(Debug)]
pub(in crate::traffic) enum LinkFailure {
    /// The other node has not seen the request, which comes back.
    NotSent(Error, Box<Request<Payload>>),
    /// The other node may have passed it on.
    Sent(Error),
}

impl Link {
    pub(super) fn new(addr: SocketAddr) -> Link {
        Link {
            addr,
            reach: Reach::new("peer"),
            sender: Mutex::new(None),
            connecting: tokio::sync::Mutex::new(None),
        }
    }

    /// Passes a request on and waits for the head of its answer. Dropping the
    /// future, or the body of the answer, resets the stream.
    ///
    /// # Errors
    ///
    /// Says whether the other node can have seen the request.
    pub(in crate::traffic) async fn send(
        &self,
        req: Request<Payload>,
    ) -> Result<Response<Incoming>, LinkFailure> {
        let mut sender = match self.sender().await {
            Ok(sender) => sender,
            Err(err) => return Err(LinkFailure::NotSent(err, Box::new(req))),
        };
        sender.try_send_request(req).await.map_err(|mut failed| {
            let message = failed.take_message();
            let cause = failed.into_error();
            if sender.is_closed() {
                self.reach.missed(self.addr, error_chain(&cause));
            }
            let error = self.error("the exchange failed").with_cause(cause);
            match message {
                Some(req) => LinkFailure::NotSent(error, Box::new(req)),
                None => LinkFailure::Sent(error),
            }
        })
    }

    async fn sender(&self) -> Result<Sender> {
        if let Some(sender) = self.open_sender() {
            return Ok(sender);
        }
        let asked = Instant::now();
        let mut failed = self.connecting.lock().await;
        if let Some(sender) = self.open_sender() {
            return Ok(sender);
        }
        // Whoever waited for a connection that didn't come is told so. Were
        // each to try anew, the last of a herd would have waited for all.
        if failed.is_some_and(|failed| failed >= asked) {
            return Err(self.error("connecting has just failed"));
        }
        let connect = tokio::time::timeout(CONNECT_TIMEOUT, self.connect());
        let connected = connect
            .await
            .unwrap_or_else(|_| Err(self.error("connecting took too long")));
        match &connected {
            Ok(_) => self.reach.found(self.addr),
            Err(err) => self.reach.missed(self.addr, err),
        };
        *failed = connected.is_err().then(Instant::now);
        let sender = connected?;
        *self.sender.lock().unwrap_or_else(PoisonError::into_inner) = Some(sender.clone());
        Ok(sender)
    }

    fn open_sender(&self) -> Option<Sender> {
        let sender = self.sender.lock().unwrap_or_else(PoisonError::into_inner);
        sender
            .as_ref()
            .filter(|sender| !sender.is_closed())
            .cloned()
    }

    async fn connect(&self) -> Result<Sender> {
        let stream = TcpStream::connect(self.addr)
            .await
            .map_err(|e| self.error("cannot connect").with_cause(e))?;
        let socket = SockRef::from(&stream);
        socket
            .set_tcp_nodelay(true)
            .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED)))
            .map_err(|e| self.error("cannot connect").with_cause(e))?;
        let handshake = http2::Builder::new(TokioExecutor::new())
            .timer(StallTimer)
            .initial_stream_window_size(STREAM_WINDOW)
            .initial_connection_window_size(CONNECTION_WINDOW)
            .max_header_list_size(u32::try_from(MAX_HEAD_BYTES).unwrap_or(u32::MAX))
            // A peer that was paused or cut off without a reset is noticed.
            .keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(PING_TIMEOUT)
            .handshake(TokioIo::new(stream));
        let (sender, connection) = handshake
            .await
            .map_err(|e| self.error("cannot connect").with_cause(e))?;
        counter!(traffic::PEER_CONNECTIONS).increment(1);
        tokio::spawn(async move {
            // Requests on it learn of a failure by themselves.
            let _ = connection.await;
        });
        Ok(sender)
    }

    fn error(&self, message: &str) -> Error {
        Error::new(Step::Forward, message).at_peer(self.addr)
    }
}
