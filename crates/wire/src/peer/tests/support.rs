//! A peer server that records the messages it receives, and a firewall in front of it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use sassafrasspool_core::Error;
use sassafrasspool_core::Heads;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::PeerMessage;
use sassafrasspool_core::PeerReply;
use sassafrasspool_core::Pull;
use sassafrasspool_core::Stream;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::SocketBytes;
use crate::peer::PeerHandler;
use crate::peer::PeerLimits;
use crate::peer::PeerServer;

/// Messages and faults received by a server.
#[derive(Debug, Clone, Default)]
pub(super) struct Received {
    messages: Arc<Mutex<Vec<InstanceId>>>,
    faults: Arc<Mutex<Vec<String>>>,
}

impl Received {
    pub(super) fn messages(&self) -> usize {
        self.messages.lock().expect("messages").len()
    }

    pub(super) fn faults(&self) -> Vec<String> {
        self.faults.lock().expect("faults").clone()
    }
}

impl PeerHandler for Received {
    async fn answer(&self, from: InstanceId, _: PeerMessage) -> PeerReply {
        self.messages.lock().expect("messages").push(from);
        PeerReply::Heads(Some(Heads::default()))
    }

    fn record_fault(&self, _: SocketAddr, err: &Error) {
        self.faults.lock().expect("faults").push(err.to_string());
    }
}

/// A server that runs until it is dropped.
#[derive(Debug)]
pub(super) struct TestServer {
    pub(super) addr: SocketAddr,
    pub(super) received: Received,
    pub(super) bytes: Arc<SocketBytes>,
    cancel: CancellationToken,
}

impl TestServer {
    pub(super) async fn start(limits: PeerLimits) -> TestServer {
        let addr = "127.0.0.1:0".parse().expect("an address");
        TestServer::start_at(addr, limits).await
    }

    pub(super) async fn start_at(addr: SocketAddr, limits: PeerLimits) -> TestServer {
        let listener = TcpListener::bind(addr).await.expect("a listener");
        let addr = listener.local_addr().expect("its address");
        let received = Received::default();
        let bytes = Arc::new(SocketBytes::default());
        let cancel = CancellationToken::new();
        let server = PeerServer::new(received.clone(), limits, Arc::clone(&bytes));
        tokio::spawn(server.serve(listener, cancel.clone()));
        TestServer {
            addr,
            received,
            bytes,
            cancel,
        }
    }
}

impl Drop for TestServer {
    fn drop(&mut self) {
        self.cancel.cancel();
    }
}

pub(super) fn own_id() -> InstanceId {
    InstanceId::new("wd-1").expect("a name")
}

pub(super) fn pull() -> PeerMessage {
    PeerMessage::Pull(Pull {
        stream: Stream::Catalogue,
        held: None,
    })
}

/// Waits until `condition` is true, for at most ten seconds.
pub(super) async fn wait_until(condition: impl Fn() -> bool) {
    for _ in 0..2_000 {
        if condition() {
            return;
        }
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    panic!("the condition did not become true within ten seconds");
}

/// A proxy to a server that can stop forwarding the open connections without closing them
/// while new ones work, like a firewall that has dropped its connection state.
#[derive(Debug)]
pub(super) struct StatefulFirewall {
    pub(super) addr: SocketAddr,
    /// Connections up to this number are no longer forwarded.
    dropped_up_to: watch::Sender<usize>,
    opened: Arc<AtomicUsize>,
}

impl StatefulFirewall {
    pub(super) async fn start(to: SocketAddr) -> StatefulFirewall {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let addr = listener.local_addr().expect("its address");
        let (dropped_up_to, rx) = watch::channel(0);
        let opened = Arc::new(AtomicUsize::new(0));
        let count = Arc::clone(&opened);
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let number = count.fetch_add(1, Ordering::SeqCst) + 1;
                tokio::spawn(forward(near, to, number, rx.clone()));
            }
        });
        StatefulFirewall {
            addr,
            dropped_up_to,
            opened,
        }
    }

    /// Stops forwarding the connections that are open now.
    pub(super) fn drop_open_connections(&self) {
        self.dropped_up_to.send_replace(self.opened());
    }

    /// The number of connections opened so far.
    pub(super) fn opened(&self) -> usize {
        self.opened.load(Ordering::SeqCst)
    }
}

async fn forward(
    mut near: TcpStream,
    to: SocketAddr,
    number: usize,
    mut rx: watch::Receiver<usize>,
) {
    let mut far = TcpStream::connect(to).await.expect("a server");
    let dropped = async { rx.wait_for(|up_to| number <= *up_to).await.is_ok() };
    let is_dropped = tokio::select! {
        _ = tokio::io::copy_bidirectional(&mut near, &mut far) => false,
        is_dropped = dropped => is_dropped,
    };
    if is_dropped {
        // Both sockets stay open.
        std::future::pending::<()>().await;
    }
}
