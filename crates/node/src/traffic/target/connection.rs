//! One connection to the local target.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Instant;

use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use sassafrasspool_wire::LineEndings;
use sassafrasspool_wire::ServerStream;
use sassafrasspool_wire::SocketBytes;

use super::pool::OpenGuard;
use super::pool::WorkerIndex;
use crate::traffic::payload::Payload;

/// A connection that is polled by its holder. No separate task runs between a
/// request and its bytes, and dropping the connection closes the socket.
#[derive(Debug)]
pub(in crate::traffic) struct Connection {
    pub(super) sender: http1::SendRequest<Payload>,
    driver: Pin<Box<http1::Connection<TokioIo<ServerStream>, Payload>>>,
    ended: bool,
    written: Arc<SocketBytes>,
    pub(super) lines: LineEndings,
    pub(super) last_used: Instant,
    open: OpenGuard,
}

impl Connection {
    pub(super) fn new(
        sender: http1::SendRequest<Payload>,
        driver: http1::Connection<TokioIo<ServerStream>, Payload>,
        written: Arc<SocketBytes>,
        lines: LineEndings,
        open: OpenGuard,
    ) -> Connection {
        Connection {
            sender,
            driver: Box::pin(driver),
            ended: false,
            written,
            lines,
            last_used: Instant::now(),
            open,
        }
    }

    /// The traffic thread on which the connection was opened.
    pub(super) fn worker(&self) -> WorkerIndex {
        self.open.worker()
    }

    /// The guard that counts the connection as open in its pool.
    pub(super) fn open(&self) -> &OpenGuard {
        &self.open
    }

    /// Bytes written to the socket so far.
    pub(super) fn written(&self) -> u64 {
        self.written.written()
    }

    /// Reads and writes what the socket allows. Does nothing once the connection has ended.
    pub(super) fn drive(&mut self, cx: &mut Context<'_>) {
        if self.ended {
            return;
        }
        // A failure is returned by the future of the exchange.
        self.ended = matches!(self.driver.as_mut().poll(cx), Poll::Ready(_));
    }

    /// Whether the next request can be sent on the connection.
    pub(super) fn is_usable(&self) -> bool {
        !self.ended && self.sender.is_ready()
    }
}
