//! A wire that can be held.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

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

/// Bytes that are passed on at once.
const BUF_BYTES: usize = 16 * 1024;

/// Passes connections on to one address and back.
///
/// While it is held, bytes in both directions wait, as they do in a network
/// that loses its packets: nothing is reset, new connections open and stay
/// silent, and what was sent before arrives late. While it is closed,
/// connections are refused, as those to a process that ended are.
#[derive(Debug)]
pub struct Relay {
    addr: SocketAddr,
    to: SocketAddr,
    held: watch::Sender<bool>,
    open: Mutex<Option<Open>>,
}

/// What accepts and passes on while a relay is open.
#[derive(Debug)]
struct Open {
    accepting: JoinHandle<Option<()>>,
    guard: DropGuard,
}

impl Relay {
    /// Begins to pass connections to `addr` on to `to`.
    ///
    /// # Errors
    ///
    /// Fails if `addr` can't be bound.
    pub async fn start(addr: SocketAddr, to: SocketAddr) -> std::io::Result<Relay> {
        let relay = Relay {
            addr,
            to,
            held: watch::Sender::new(false),
            open: Mutex::new(None),
        };
        relay.open().await?;
        Ok(relay)
    }

    /// Where it takes connections.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Holds all bytes, or lets them go on.
    pub fn hold(&self, held: bool) {
        self.held.send_replace(held);
    }

    /// Ends all connections and refuses new ones.
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
        let accepting = accept(listener, self.to, self.held.subscribe(), cancel.clone());
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

async fn accept(
    listener: TcpListener,
    to: SocketAddr,
    held: watch::Receiver<bool>,
    cancel: CancellationToken,
) {
    while let Ok((near, _)) = listener.accept().await {
        let passing = pass(near, to, held.clone());
        tokio::spawn(cancel.clone().run_until_cancelled_owned(passing));
    }
}

async fn pass(near: TcpStream, to: SocketAddr, held: watch::Receiver<bool>) {
    let mut opening = held.clone();
    if opening.wait_for(|held| !held).await.is_err() {
        return;
    }
    // A refused connection ends the near one, as if it had been refused.
    let Ok(far) = TcpStream::connect(to).await else {
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_rx, near_tx) = near.into_split();
    let (far_rx, far_tx) = far.into_split();
    tokio::join!(
        copy(near_rx, far_tx, held.clone()),
        copy(far_rx, near_tx, held)
    );
}

/// Passes bytes on in one direction until the reader or the writer ends.
async fn copy(mut rx: OwnedReadHalf, mut tx: OwnedWriteHalf, mut held: watch::Receiver<bool>) {
    let mut buf = vec![0; BUF_BYTES];
    while let Ok(len) = rx.read(&mut buf).await {
        if held.wait_for(|held| !held).await.is_err() {
            return;
        }
        if len == 0 || tx.write_all(&buf[..len]).await.is_err() {
            break;
        }
    }
    let _ = tx.shutdown().await;
}
