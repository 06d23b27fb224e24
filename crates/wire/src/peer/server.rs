//! Server for the connections of other nodes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use sassafrasspool_core::Error;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::PeerMessage;
use sassafrasspool_core::PeerReply;
use sassafrasspool_core::Step;
use tarpc::context::Context;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tarpc::server::Config;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::Packed;
use super::Peer;
use super::PeerHandler;
use super::PeerLimits;
use super::transport::framed;
use crate::SocketBytes;
use crate::error_chain::error_chain;

/// Wait after a failed accept, for instance when the process has no file descriptor
/// left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves a bounded number of connections of other nodes.
#[derive(Debug)]
pub struct PeerServer<H> {
    handler: H,
    limits: PeerLimits,
    bytes: Arc<SocketBytes>,
}

impl<H: PeerHandler + Sync> PeerServer<H> {
    /// A server that passes received messages to `handler`.
    pub fn new(handler: H, limits: PeerLimits, bytes: Arc<SocketBytes>) -> PeerServer<H> {
        PeerServer {
            handler,
            limits,
            bytes,
        }
    }

    /// Accepts connections until `cancel` is cancelled, then closes them all.
    pub async fn serve(self, listener: TcpListener, cancel: CancellationToken) {
        let permits = Arc::new(Semaphore::new(self.limits.max_inbound));
        let tasks = TaskTracker::new();
        while let Some(accepted) = cancel.run_until_cancelled(listener.accept()).await {
            let Ok((io, peer)) = accepted else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            // All nodes of a restarting fleet connect at the same time. Connections over
            // the limit are closed at once; their nodes retry after a backoff with jitter.
            let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
                let err = Error::new(Step::Connect, "connection limit reached");
                self.handler.record_fault(peer, &err.at_peer(peer));
                continue;
            };
            let served = self.serve_connection(io, peer, permit);
            let cancel = cancel.clone();
            tasks.spawn(async move { cancel.run_until_cancelled(served).await });
        }
        tasks.close();
        tasks.wait().await;
    }

    fn serve_connection(
        &self,
        io: TcpStream,
        peer: SocketAddr,
        permit: OwnedSemaphorePermit,
    ) -> impl Future<Output = ()> + use<H> {
        let service = Service {
            handler: self.handler.clone(),
            peer,
        };
        let limits = self.limits;
        let bytes = Arc::clone(&self.bytes);
        async move {
            let _permit = permit;
            if let Err(err) = answer_messages(io, &service, limits, bytes).await {
                service.handler.record_fault(peer, &err.at_peer(peer));
            }
        }
    }
}

/// Answers the messages of one connection, up to `limits.requests` concurrently.
async fn answer_messages<H: PeerHandler + Sync>(
    io: TcpStream,
    service: &Service<H>,
    limits: PeerLimits,
    bytes: Arc<SocketBytes>,
) -> Result<(), Error> {
    let transport = framed(io, bytes)?;
    let channel = BaseChannel::new(Config::default(), transport);
    let requests = channel
        .max_concurrent_requests(limits.max_concurrent_requests)
        .requests();
    let mut requests = std::pin::pin!(requests);
    let mut answers = futures::stream::FuturesUnordered::new();
    loop {
        tokio::select! {
            next = timeout(limits.idle_timeout, requests.next()) => match next {
                Ok(Some(Ok(request))) => answers.push(request.execute(service.clone().serve())),
                Ok(Some(Err(cause))) => {
                    return Err(Error::new(Step::Exchange, error_chain(&cause)));
                }
                // The peer closed the connection, or it was idle for too long.
                Ok(None) | Err(_) => return Ok(()),
            },
            Some(()) = answers.next() => {}
        }
    }
}

/// The service on one connection.
#[derive(Debug, Clone)]
struct Service<H> {
    handler: H,
    peer: SocketAddr,
}

impl<H: PeerHandler + Sync> Peer for Service<H> {
    async fn exchange(self, _: Context, from: InstanceId, message: Packed) -> Packed {
        let reply = match message.unpack::<PeerMessage>() {
            Ok(message) => self.handler.answer(from, message).await,
            Err(err) => self.refuse_message(&err.at_peer(format!("{from} ({})", self.peer))),
        };
        Packed::pack(&reply).unwrap_or_else(|err| {
            self.handler
                .record_fault(self.peer, &err.at_peer(self.peer));
            Packed::Plain(bytes::Bytes::new())
        })
    }
}

impl<H: PeerHandler> Service<H> {
    fn refuse_message(&self, err: &Error) -> PeerReply {
        self.handler.record_fault(self.peer, err);
        PeerReply::Refused
    }
}
