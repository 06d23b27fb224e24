//! A TCP proxy between two processes that can inject network faults.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;

#[cfg(test)]
mod tests;

/// Size of the buffer that bytes are copied through.
const COPY_BUF_BYTES: usize = 16 * 1024;

/// The faults that a link injects at the moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct State {
    /// Extra delay of each chunk of bytes.
    delay: Duration,
    /// Bytes from the client, which opened the connection, are held back.
    blocked_forward: bool,
    /// Bytes to the client are held back.
    blocked_backward: bool,
    /// Connections with a lower number are reset.
    reset_below: u64,
    /// Connections with a lower number stay open and carry no more bytes.
    silent_below: u64,
}

/// The direction of bytes in a connection: from the client, or to it.
#[derive(Debug, Clone, Copy)]
enum Direction {
    Forward,
    Backward,
}

/// Forwards connections from one address to another, and injects faults into them.
#[derive(Debug)]
pub struct Link {
    addr: SocketAddr,
    to: SocketAddr,
    state: Arc<watch::Sender<State>>,
    connections: Arc<AtomicU64>,
    open: Mutex<Option<OpenLink>>,
}

/// The tasks of an open link.
#[derive(Debug)]
struct OpenLink {
    accepting: JoinHandle<Option<()>>,
    guard: DropGuard,
}

impl Link {
    /// Starts forwarding connections to `addr` on to `to`.
    ///
    /// # Errors
    ///
    /// Fails if `addr` can't be bound.
    pub async fn start(addr: SocketAddr, to: SocketAddr) -> std::io::Result<Link> {
        let link = Link {
            addr,
            to,
            state: Arc::default(),
            connections: Arc::default(),
            open: Mutex::new(None),
        };
        link.open().await?;
        Ok(link)
    }

    /// The address where it accepts connections.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Delays bytes; a delay of zero ends that.
    pub fn set_delay(&self, delay: Duration) {
        self.state.send_modify(|state| state.delay = delay);
    }

    /// Holds bytes back in one or both directions, like a network partition: no
    /// connection is reset, and the bytes arrive once the link is unblocked.
    pub fn set_blocked(&self, forward: bool, backward: bool) {
        self.state.send_modify(|state| {
            state.blocked_forward = forward;
            state.blocked_backward = backward;
        });
    }

    /// Resets the connections that are open now.
    pub fn reset_connections(&self) {
        let below = self.connections.load(Ordering::Relaxed);
        self.state.send_modify(|state| state.reset_below = below);
    }

    /// Drops all further bytes of the connections that are open now without closing
    /// them, like a middlebox that lost its state. New connections work.
    pub fn blackhole_connections(&self) {
        let below = self.connections.load(Ordering::Relaxed);
        self.state.send_modify(|state| state.silent_below = below);
    }

    /// Closes all connections and refuses new ones, like a process that exited.
    pub async fn close(&self) {
        let open = self.lock().take();
        if let Some(OpenLink { accepting, guard }) = open {
            drop(guard);
            // The address is free only once the task has dropped the listener.
            let _ = accepting.await;
        }
    }

    /// Accepts connections again. Does nothing if the link is open.
    ///
    /// # Errors
    ///
    /// Fails if its address can't be bound.
    pub async fn open(&self) -> std::io::Result<()> {
        if self.lock().is_some() {
            return Ok(());
        }
        let listener = TcpListener::bind(self.addr).await?;
        let cancel = CancellationToken::new();
        let shared = Shared {
            to: self.to,
            state: Arc::clone(&self.state),
            connections: Arc::clone(&self.connections),
        };
        let accepting = accept(listener, shared, cancel.clone());
        let accepting = tokio::spawn(cancel.clone().run_until_cancelled_owned(accepting));
        *self.lock() = Some(OpenLink {
            accepting,
            guard: cancel.drop_guard(),
        });
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, Option<OpenLink>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// State that all connections of a link share.
#[derive(Debug, Clone)]
struct Shared {
    to: SocketAddr,
    state: Arc<watch::Sender<State>>,
    connections: Arc<AtomicU64>,
}

async fn accept(listener: TcpListener, shared: Shared, cancel: CancellationToken) {
    while let Ok((client, _)) = listener.accept().await {
        let number = shared.connections.fetch_add(1, Ordering::Relaxed);
        let forwarding = forward(client, shared.clone(), number);
        tokio::spawn(cancel.clone().run_until_cancelled_owned(forwarding));
    }
}

async fn forward(client: TcpStream, shared: Shared, number: u64) {
    let mut state = shared.state.subscribe();
    let opening = state.wait_for(|state| !state.blocked_forward && !state.blocked_backward);
    if opening.await.is_err() {
        return;
    }
    // If the server refuses, the client's connection is closed too.
    let Ok(server) = TcpStream::connect(shared.to).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_rx, client_tx) = client.into_split();
    let (server_rx, server_tx) = server.into_split();
    let copying = async {
        tokio::join!(
            copy_one_way(
                client_rx,
                server_tx,
                state.clone(),
                number,
                Direction::Forward
            ),
            copy_one_way(
                server_rx,
                client_tx,
                state.clone(),
                number,
                Direction::Backward
            )
        )
    };
    let mut watched = shared.state.subscribe();
    let reset = watched.wait_for(|state| number < state.reset_below);
    // Dropping a socket with unread bytes resets it. Otherwise it is closed, possibly
    // in the middle of a message.
    tokio::select! {
        _ = copying => {}
        _ = reset => {}
    }
}

/// Copies bytes in one direction until the reader or the writer ends.
async fn copy_one_way(
    mut rx: OwnedReadHalf,
    mut tx: OwnedWriteHalf,
    mut state: watch::Receiver<State>,
    number: u64,
    direction: Direction,
) {
    let mut buf = vec![0; COPY_BUF_BYTES];
    while let Ok(len) = rx.read(&mut buf).await {
        let is_unblocked = |state: &State| match direction {
            Direction::Forward => !state.blocked_forward,
            Direction::Backward => !state.blocked_backward,
        };
        let Ok(now) = state.wait_for(is_unblocked).await.map(|state| *state) else {
            return;
        };
        if number < now.silent_below {
            return std::future::pending().await;
        }
        tokio::time::sleep(now.delay).await;
        if len == 0 || tx.write_all(&buf[..len]).await.is_err() {
            break;
        }
    }
    let _ = tx.shutdown().await;
}
