//! Accepts and serves connections until the target crashes or stops.

use std::net::Shutdown;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use sassafrasspool_core::Result;
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

use super::generation::Generation;
use super::open_connection::OpenConnection;
use super::work;
use crate::serve::listen_error;

/// The maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1_024;

/// The delay after a failed accept. The usual cause is a lack of file
/// descriptors; retrying without a delay would spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// A bound port without a listener.
///
/// A crashed target must refuse connections and later restart on the same port.
/// This socket keeps the port bound in between, so that the system gives it to no
/// other process. It doesn't listen, so connection attempts are refused.
#[derive(Debug)]
pub(super) struct PortReservation {
    _socket: TcpSocket,
    addr: SocketAddr,
}

impl PortReservation {
    /// Reserves the port of `addr`; any free one if it is 0.
    pub(super) fn reserve(addr: SocketAddr) -> Result<PortReservation> {
        let bound =
            bind_reusable_socket(addr).and_then(|socket| Ok((socket.local_addr()?, socket)));
        let (addr, socket) = bound.map_err(|e| listen_error(addr, e))?;
        Ok(PortReservation {
            _socket: socket,
            addr,
        })
    }

    /// The address with the reserved port.
    pub(super) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Listens on the reserved port.
    pub(super) fn listen(&self) -> Result<TcpListener> {
        bind_reusable_socket(self.addr)
            .and_then(|socket| socket.listen(LISTEN_BACKLOG))
            .map_err(|e| listen_error(self.addr, e))
    }
}

fn bind_reusable_socket(addr: SocketAddr) -> std::io::Result<TcpSocket> {
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    socket.bind(addr)?;
    Ok(socket)
}

/// Accepts connections and serves each in a task of its own.
pub(super) async fn serve_connections(listener: TcpListener, generation: Arc<Generation>) {
    let cancel = generation.shared.cancel.clone();
    tokio::select! {
        () = accept_loop(&listener, &generation) => {}
        () = generation.crash.cancelled() => {}
        () = cancel.cancelled() => {}
    }
    stop_listening(&listener);
}

async fn accept_loop(listener: &TcpListener, generation: &Arc<Generation>) {
    loop {
        match listener.accept().await {
            Ok((io, _)) => handle_connection(io, generation),
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Ends listening immediately, which closing the socket doesn't always do.
///
/// A process that starts a child shares its sockets with the child until the
/// child executes its program. A listener that is closed in between stays open in
/// the child, so callers could still connect to a crashed target. Shutting the
/// socket down ends listening in every process that shares it.
fn stop_listening(listener: &TcpListener) {
    let _ = SockRef::from(listener).shutdown(Shutdown::Both);
}

fn handle_connection(io: TcpStream, generation: &Arc<Generation>) {
    match OpenConnection::open(&generation.shared) {
        Some(open) => {
            generation
                .tasks
                .spawn(serve_connection(io, Arc::clone(generation), open));
        }
        None => close_with_reset(io),
    }
}

/// Closes the connection with a reset and discards unsent data.
fn close_with_reset(io: TcpStream) {
    let _ = io.set_zero_linger();
}

async fn serve_connection(io: TcpStream, generation: Arc<Generation>, _open: OpenConnection) {
    let _ = io.set_nodelay(true);
    tokio::time::sleep(Duration::from_millis(generation.shared.cfg.connect_ms)).await;
    let cancel = generation.shared.cancel.clone();
    let crash = generation.crash.clone();
    let service = service_fn(move |req| work::serve(Arc::clone(&generation), req));
    let mut conn = http1::Builder::new().serve_connection(TokioIo::new(io), service);
    tokio::select! {
        _ = &mut conn => return,
        () = crash.cancelled() => return close_with_reset(conn.into_parts().io.into_inner()),
        () = cancel.cancelled() => {}
    }
    let mut conn = pin!(conn);
    conn.as_mut().graceful_shutdown();
    tokio::select! {
        _ = conn => {}
        () = crash.cancelled() => {}
    }
}
