//! A node's side of the wire that remembers what reached it.

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

/// A way to a server whose open connections can fall silent for good, as behind a
/// firewall that has forgotten them, while new ones work.
#[derive(Debug)]
pub(super) struct Firewall {
    pub(super) addr: SocketAddr,
    /// Connections up to this number carry nothing any more.
    forgotten: watch::Sender<usize>,
    opened: Arc<AtomicUsize>,
}

impl Firewall {
    pub(super) async fn start(to: SocketAddr) -> Firewall {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let addr = listener.local_addr().expect("its address");
        let (forgotten, rx) = watch::channel(0);
        let opened = Arc::new(AtomicUsize::new(0));
        let count = Arc::clone(&opened);
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let number = count.fetch_add(1, Ordering::SeqCst) + 1;
                tokio::spawn(carry(near, to, number, rx.clone()));
            }
        });
        Firewall {
            addr,
            forgotten,
            opened,
        }
    }

    /// Lets the connections that are open now fall silent.
    pub(super) fn forget_open(&self) {
        self.forgotten.send_replace(self.opened());
    }

    /// How many connections were opened so far.
    pub(super) fn opened(&self) -> usize {
        self.opened.load(Ordering::SeqCst)
    }
}

async fn carry(mut near: TcpStream, to: SocketAddr, number: usize, mut rx: watch::Receiver<usize>) {
    let mut far = TcpStream::connect(to).await.expect("a server");
    let forgotten = async { rx.wait_for(|upto| number <= *upto).await.is_ok() };
    let is_forgotten = tokio::select! {
        _ = tokio::io::copy_bidirectional(&mut near, &mut far) => false,
        is_forgotten = forgotten => is_forgotten,
    };
    if is_forgotten {
        // Both ends stay open.
        std::future::pending::<()>().await;
    }
}
