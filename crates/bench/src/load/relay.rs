//! A wire that can be held.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;

/// Bytes that are passed on at once.
const BUF_BYTES: usize = 16 * 1024;

/// Passes connections on to one address and back.
///
/// While it is held, bytes in both directions wait, as they do in a network
/// that loses its packets: nothing is reset, new connections open and stay
/// silent, and what was sent before arrives late.
#[derive(Debug)]
pub struct Relay {
    addr: SocketAddr,
    held: watch::Sender<bool>,
    _guard: DropGuard,
}

impl Relay {
    /// Begins to pass connections on to `to`.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(to: SocketAddr) -> std::io::Result<Relay> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let addr = listener.local_addr()?;
        let held = watch::Sender::new(false);
        let cancel = CancellationToken::new();
        let accepting = accept(listener, to, held.subscribe(), cancel.clone());
        tokio::spawn(cancel.clone().run_until_cancelled_owned(accepting));
        Ok(Relay {
            addr,
            held,
            _guard: cancel.drop_guard(),
        })
    }

    /// Where it takes connections.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Holds all bytes, or lets them go on.
    pub fn hold(&self, held: bool) {
        self.held.send_replace(held);
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
