//! A way between two processes that can be made to fail.

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

/// Bytes that are passed on at once.
const BUF_BYTES: usize = 16 * 1024;

/// What a link does with bytes at the moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct State {
    /// How long bytes take on top.
    delay: Duration,
    /// Bytes from who opened the connection wait.
    holds_forth: bool,
    /// Bytes to who opened the connection wait.
    holds_back: bool,
    /// Connections with a lower number are reset.
    reset_below: u64,
    /// Connections with a lower number stay open and carry nothing more.
    silent_below: u64,
}

/// Which direction of a connection.
#[derive(Debug, Clone, Copy)]
enum Direction {
    Forth,
    Back,
}

/// Passes connections on to one address and back.
#[derive(Debug)]
pub struct Link {
    addr: SocketAddr,
    to: SocketAddr,
    state: Arc<watch::Sender<State>>,
    connections: Arc<AtomicU64>,
    open: Mutex<Option<Open>>,
}

/// What accepts and passes on while a link is open.
#[derive(Debug)]
struct Open {
    accepting: JoinHandle<Option<()>>,
    guard: DropGuard,
}

impl Link {
    /// Begins to pass connections to `addr` on to `to`.
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

    /// Where it takes connections.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Makes bytes take longer; zero ends that.
    pub fn delay(&self, delay: Duration) {
        self.state.send_modify(|state| state.delay = delay);
    }

    /// Holds bytes in one or both directions, as a network that loses them
    /// does: nothing is reset, and what was sent arrives late.
    pub fn hold(&self, forth: bool, back: bool) {
        self.state.send_modify(|state| {
            state.holds_forth = forth;
            state.holds_back = back;
        });
    }

    /// Resets the connections that are open now.
    pub fn reset(&self) {
        let below = self.connections.load(Ordering::Relaxed);
        self.state.send_modify(|state| state.reset_below = below);
    }

    /// Lets the connections that are open now go silent for good, as behind a
    /// middlebox that forgot them; new ones work.
    pub fn silence(&self) {
        let below = self.connections.load(Ordering::Relaxed);
        self.state.send_modify(|state| state.silent_below = below);
    }

    /// Ends all connections and refuses new ones, as a process that ended.
    pub async fn close(&self) {
        let open = self.lock().take();
        if let Some(Open { accepting, guard }) = open {
            drop(guard);
            // The address is free again only when the listener is gone.
            let _ = accepting.await;
        }
    }

    /// Takes connections again; nothing to do if it wasn't closed.
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
        *self.lock() = Some(Open {
            accepting,
            guard: cancel.drop_guard(),
        });
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, Option<Open>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What the connections of a link share.
#[derive(Debug, Clone)]
struct Shared {
    to: SocketAddr,
    state: Arc<watch::Sender<State>>,
    connections: Arc<AtomicU64>,
}

async fn accept(listener: TcpListener, shared: Shared, cancel: CancellationToken) {
    while let Ok((near, _)) = listener.accept().await {
        let number = shared.connections.fetch_add(1, Ordering::Relaxed);
        let passing = pass(near, shared.clone(), number);
        tokio::spawn(cancel.clone().run_until_cancelled_owned(passing));
    }
}

async fn pass(near: TcpStream, shared: Shared, number: u64) {
    let mut state = shared.state.subscribe();
    let opening = state.wait_for(|state| !state.holds_forth && !state.holds_back);
    if opening.await.is_err() {
        return;
    }
    // A refused connection ends the near one, as if it had been refused.
    let Ok(far) = TcpStream::connect(shared.to).await else {
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_rx, near_tx) = near.into_split();
    let (far_rx, far_tx) = far.into_split();
    let carried = async {
        tokio::join!(
            copy(near_rx, far_tx, state.clone(), number, Direction::Forth),
            copy(far_rx, near_tx, state.clone(), number, Direction::Back)
        )
    };
    let mut watched = shared.state.subscribe();
    let reset = watched.wait_for(|state| number < state.reset_below);
    // Dropping both ends with bytes unread resets them; else they are closed,
    // in the middle of whatever they carried.
    tokio::select! {
        _ = carried => {}
        _ = reset => {}
    }
}

/// Passes bytes on in one direction until the reader or the writer ends.
async fn copy(
    mut rx: OwnedReadHalf,
    mut tx: OwnedWriteHalf,
    mut state: watch::Receiver<State>,
    number: u64,
    direction: Direction,
) {
    let mut buf = vec![0; BUF_BYTES];
    while let Ok(len) = rx.read(&mut buf).await {
        let flows = |state: &State| match direction {
            Direction::Forth => !state.holds_forth,
            Direction::Back => !state.holds_back,
        };
        let Ok(now) = state.wait_for(flows).await.map(|state| *state) else {
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
