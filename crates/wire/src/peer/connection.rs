//! One connection to another node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures::FutureExt;
use sassafrasspool_core::Error;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::PeerMessage;
use sassafrasspool_core::PeerReply;
use sassafrasspool_core::Result;
use sassafrasspool_core::Step;
use tarpc::client::Config;
use tarpc::client::NewClient;
use tarpc::client::RpcError;
use tarpc::context;
use tokio::net::TcpStream;

use super::Packed;
use super::PeerClient;
use super::transport::framed;
use crate::SocketBytes;
use crate::error_chain::error_chain;

/// Bounds the calls in flight on one connection.
const MAX_IN_FLIGHT: usize = 32;

/// An open connection to another node. It is connection_closed when the last clone is dropped.
#[derive(Debug, Clone)]
pub struct PeerConnection {
    addr: SocketAddr,
    client: PeerClient,
}

impl PeerConnection {
    /// Opens a connection. Its bytes are counted in `bytes`.
    ///
    /// # Errors
    ///
    /// Fails, naming the peer, if the connection isn't open within `limit`.
    pub async fn open(
        addr: SocketAddr,
        bytes: Arc<SocketBytes>,
        limit: Duration,
    ) -> Result<PeerConnection> {
        let failed = |reason: &str| Error::new(Step::Connect, reason).at_peer(addr);
        let io = tokio::time::timeout(limit, TcpStream::connect(addr))
            .await
            .map_err(|_| failed("connecting timed out"))?
            .map_err(|cause| failed("connection refused").with_cause(cause))?;
        let transport = framed(io, bytes).map_err(|err| err.at_peer(addr))?;
        let mut config = Config::default();
        config.max_in_flight_requests = MAX_IN_FLIGHT;
        config.pending_request_buffer = MAX_IN_FLIGHT;
        let NewClient { client, dispatch } = PeerClient::new(config, transport);
        // A dispatch error is returned by the calls that are in flight.
        tokio::spawn(dispatch.map(drop));
        Ok(PeerConnection { addr, client })
    }

    /// Sends a message of the instance `from` and waits for its answer.
    ///
    /// # Errors
    ///
    /// Fails, naming the peer, if the message is too large, the connection breaks, no
    /// answer arrives within `limit`, or the answer doesn't decode.
    pub async fn exchange(
        &self,
        from: &InstanceId,
        message: &PeerMessage,
        limit: Duration,
    ) -> Result<PeerReply, ExchangeError> {
        let packed = Packed::pack(message).map_err(|err| self.exchange_error(err, false))?;
        let mut cx = context::current();
        cx.deadline = Instant::now() + limit;
        let call = self.client.exchange(cx, from.clone(), packed);
        let answer = call.await.map_err(|cause| self.rpc_error(cause))?;
        answer
            .unpack()
            .map_err(|err| self.exchange_error(err, false))
    }

    fn rpc_error(&self, cause: RpcError) -> ExchangeError {
        let connection_closed = !matches!(cause, RpcError::DeadlineExceeded);
        let err = Error::new(Step::Exchange, error_chain(&cause));
        self.exchange_error(err, connection_closed)
    }

    fn exchange_error(&self, err: Error, connection_closed: bool) -> ExchangeError {
        ExchangeError {
            error: err.at_peer(self.addr),
            connection_closed,
        }
    }
}

/// Why an exchange failed.
#[derive(Debug)]
pub struct ExchangeError {
    /// The error with the step, the peer and the reason.
    pub error: Error,
    /// Whether the connection had ended, so that a new one may succeed.
    pub connection_closed: bool,
}
