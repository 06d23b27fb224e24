//! A node's side of the wire that remembers what reached it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use sassafrasspool_core::Error;
use sassafrasspool_core::Heads;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::PeerMessage;
use sassafrasspool_core::PeerReply;
use sassafrasspool_core::Pull;
use sassafrasspool_core::Stream;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::SocketBytes;
use crate::peer::PeerHandler;
use crate::peer::PeerLimits;
use crate::peer::PeerServer;

/// What reached a server.
#[derive(Debug, Clone, Default)]
pub(super) struct Seen {
    messages: Arc<Mutex<Vec<InstanceId>>>,
    faults: Arc<Mutex<Vec<String>>>,
}

impl Seen {
    pub(super) fn messages(&self) -> usize {
        self.messages.lock().expect("messages").len()
    }

    pub(super) fn faults(&self) -> Vec<String> {
        self.faults.lock().expect("faults").clone()
    }
}

impl PeerHandler for Seen {
    async fn answer(&self, from: InstanceId, _: PeerMessage) -> PeerReply {
        self.messages.lock().expect("messages").push(from);
        PeerReply::Heads(Some(Heads::default()))
    }

    fn fault(&self, _: SocketAddr, err: &Error) {
        self.faults.lock().expect("faults").push(err.to_string());
    }
}

/// A server that runs until it is dropped.
#[derive(Debug)]
pub(super) struct Served {
    pub(super) addr: SocketAddr,
    pub(super) seen: Seen,
    pub(super) bytes: Arc<SocketBytes>,
    cancel: CancellationToken,
}

impl Served {
    pub(super) async fn start(limits: PeerLimits) -> Served {
        let addr = "127.0.0.1:0".parse().expect("an address");
        Served::start_at(addr, limits).await
    }

    pub(super) async fn start_at(addr: SocketAddr, limits: PeerLimits) -> Served {
        let listener = TcpListener::bind(addr).await.expect("a listener");
        let addr = listener.local_addr().expect("its address");
        let seen = Seen::default();
        let bytes = Arc::new(SocketBytes::default());
        let cancel = CancellationToken::new();
        let server = PeerServer::new(seen.clone(), limits, Arc::clone(&bytes));
        tokio::spawn(server.serve(listener, cancel.clone()));
        Served {
            addr,
            seen,
            bytes,
            cancel,
        }
    }
}

impl Drop for Served {
    fn drop(&mut self) {
        self.cancel.cancel();
    }
}

pub(super) fn me() -> InstanceId {
    InstanceId::new("wd-1").expect("a name")
}

pub(super) fn pull() -> PeerMessage {
    PeerMessage::Pull(Pull {
        stream: Stream::Catalogue,
        held: None,
    })
}

/// Waits until `reached` holds, for ten seconds at most.
pub(super) async fn until(reached: impl Fn() -> bool) {
    for _ in 0..2_000 {
        if reached() {
            return;
        }
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    panic!("it didn't come true within ten seconds");
}
