//! One connection to the target.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Instant;

use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use sassafrasspool_wire::Counted;
use sassafrasspool_wire::SocketBytes;

use super::pool::Open;
use super::pool::WorkerIndex;
use crate::traffic::payload::Payload;

/// A connection that is driven by whoever holds it: no task of its own stands
/// between a request and its bytes, and dropping it closes the socket.
#[derive(Debug)]
pub(in crate::traffic) struct Connection {
    pub(super) sender: http1::SendRequest<Payload>,
    driver: Pin<Box<http1::Connection<TokioIo<Counted>, Payload>>>,
    ended: bool,
    written: Arc<SocketBytes>,
    /// When it was last used.
    pub(super) used: Instant,
    open: Open,
}

impl Connection {
    pub(super) fn new(
        sender: http1::SendRequest<Payload>,
        driver: http1::Connection<TokioIo<Counted>, Payload>,
        written: Arc<SocketBytes>,
        open: Open,
    ) -> Connection {
        Connection {
            sender,
            driver: Box::pin(driver),
            ended: false,
            written,
            used: Instant::now(),
            open,
        }
    }

    /// The thread on which it was opened.
    pub(super) fn worker(&self) -> WorkerIndex {
        self.open.worker()
    }

    /// What counts it as open.
    pub(super) fn open(&self) -> &Open {
        &self.open
    }

    /// Bytes that the socket has taken so far.
    pub(super) fn written(&self) -> u64 {
        self.written.written()
    }

    /// Moves bytes; nothing to do once the connection has ended.
    pub(super) fn drive(&mut self, cx: &mut Context<'_>) {
        if self.ended {
            return;
        }
        // The exchange learns of a failure by itself, from its own future.
        self.ended = matches!(self.driver.as_mut().poll(cx), Poll::Ready(_));
    }

    /// Whether the next request can go out on it.
    pub(super) fn is_usable(&self) -> bool {
        !self.ended && self.sender.is_ready()
    }
}
