//! A connection to one other node.

use std::net::SocketAddr;
use std::sync::Arc;
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
use sassafrasspool_wire::Observed;
use sassafrasspool_wire::error_chain;
use socket2::SockRef;
use tokio::net::TcpStream;

use super::silence_watch::ReceiptObserver;
use super::silence_watch::SilenceWatch;
use super::stall_timer::StallTimer;
use crate::dependency_monitor::DependencyMonitor;
use crate::metrics::traffic;
use crate::traffic::bounds::CONNECT_TIMEOUT;
use crate::traffic::bounds::CONNECTION_WINDOW_BYTES;
use crate::traffic::bounds::MAX_HEAD_BYTES;
use crate::traffic::bounds::PING_INTERVAL;
use crate::traffic::bounds::PING_TIMEOUT;
use crate::traffic::bounds::STREAM_WINDOW_BYTES;
use crate::traffic::bounds::UNACKNOWLEDGED_TIMEOUT;
use crate::traffic::payload::Payload;

/// Sends requests on one connection.
#[derive(Debug, Clone)]
struct Sender {
    http: http2::SendRequest<Payload>,
    watch: Arc<SilenceWatch>,
}

impl Sender {
    fn is_usable(&self) -> bool {
        !self.http.is_closed() && !self.watch.is_silent()
    }
}

/// A connection to one node, opened on first use and replaced after it broke or fell silent.
#[derive(Debug)]
pub(in crate::traffic) struct PeerConnection {
    addr: SocketAddr,
    monitor: DependencyMonitor,
    sender: Mutex<Option<Sender>>,
    /// Time of the last failed attempt to connect. Locked while connecting, so that
    /// concurrent requests open a single connection.
    last_connect_failure: tokio::sync::Mutex<Option<Instant>>,
}

/// The failure of sending a request to another node.
#[derive(Debug)]
pub(in crate::traffic) enum SendError {
    /// The other node hasn't received the request, which is returned.
    NotSent(Error, Box<Request<Payload>>),
    /// The other node may have received the request and forwarded it.
    Sent(Error),
}

impl PeerConnection {
    pub(super) fn new(addr: SocketAddr) -> PeerConnection {
        PeerConnection {
            addr,
            monitor: DependencyMonitor::new("peer"),
            sender: Mutex::new(None),
            last_connect_failure: tokio::sync::Mutex::new(None),
        }
    }

    /// Sends a request and waits for the head of its answer. Dropping the future, or the
    /// body of the answer, resets the stream.
    ///
    /// # Errors
    ///
    /// Returns whether the other node may have received the request.
    pub(in crate::traffic) async fn send(
        &self,
        req: Request<Payload>,
    ) -> Result<Response<Incoming>, SendError> {
        let mut sender = match self.sender().await {
            Ok(sender) => sender,
            Err(err) => return Err(SendError::NotSent(err, Box::new(req))),
        };
        sender.watch.record_request();
        sender
            .http
            .try_send_request(req)
            .await
            .map_err(|mut failed| {
                let message = failed.take_message();
                let cause = failed.into_error();
                if sender.http.is_closed() {
                    self.monitor.record_failure(self.addr, error_chain(&cause));
                }
                let error = self.error("request to the peer failed").with_cause(cause);
                match message {
                    Some(req) => SendError::NotSent(error, Box::new(req)),
                    None => SendError::Sent(error),
                }
            })
    }

    async fn sender(&self) -> Result<Sender> {
        if let Some(sender) = self.open_sender() {
            return Ok(sender);
        }
        let requested_at = Instant::now();
        let mut last_failure = self.last_connect_failure.lock().await;
        if let Some(sender) = self.open_sender() {
            return Ok(sender);
        }
        // A request that waited for a failed attempt to connect fails as well. If each
        // tried again, the last of many concurrent requests would wait for all attempts.
        if last_failure.is_some_and(|failed_at| failed_at >= requested_at) {
            return Err(self.error("the connection attempt of another request failed"));
        }
        let connect = tokio::time::timeout(CONNECT_TIMEOUT, self.connect());
        let connected = connect
            .await
            .unwrap_or_else(|_| Err(self.error("timed out while connecting")));
        match &connected {
            Ok(_) => self.monitor.record_success(self.addr),
            Err(err) => self.monitor.record_failure(self.addr, err),
        };
        *last_failure = connected.is_err().then(Instant::now);
        let sender = connected?;
        *self.sender.lock().unwrap_or_else(PoisonError::into_inner) = Some(sender.clone());
        Ok(sender)
    }

    fn open_sender(&self) -> Option<Sender> {
        let sender = self.sender.lock().unwrap_or_else(PoisonError::into_inner);
        sender.as_ref().filter(|sender| sender.is_usable()).cloned()
    }

    async fn connect(&self) -> Result<Sender> {
        let stream = TcpStream::connect(self.addr)
            .await
            .map_err(|e| self.error("cannot connect").with_cause(e))?;
        let socket = SockRef::from(&stream);
        socket
            .set_tcp_nodelay(true)
            .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)))
            .map_err(|e| self.error("cannot connect").with_cause(e))?;
        let watch = Arc::new(SilenceWatch::new());
        let observer = ReceiptObserver(Arc::clone(&watch));
        let handshake = http2::Builder::new(TokioExecutor::new())
            .timer(StallTimer)
            .initial_stream_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .max_header_list_size(u32::try_from(MAX_HEAD_BYTES).unwrap_or(u32::MAX))
            // Detects a peer that was paused, or cut off without a reset.
            .keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(PING_TIMEOUT)
            .handshake(TokioIo::new(Observed::new(stream, observer)));
        let (http, connection) = handshake
            .await
            .map_err(|e| self.error("cannot connect").with_cause(e))?;
        counter!(traffic::PEER_CONNECTIONS).increment(1);
        let sender = Sender {
            http,
            watch: Arc::clone(&watch),
        };
        let addr = self.addr;
        tokio::spawn(async move {
            tokio::select! {
                // The requests on the connection get its failure as their own error.
                _ = connection => {}
                never = watch.run(addr) => match never {},
            }
        });
        Ok(sender)
    }

    fn error(&self, message: &str) -> Error {
        Error::new(Step::Forward, message).at_peer(self.addr)
    }
}
