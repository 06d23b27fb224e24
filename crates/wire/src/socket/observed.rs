//! A connection that reports the bytes read and written to an observer.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use super::SocketBytes;
use crate::LineEndings;

/// Observes the bytes of a connection.
pub trait IoObserver {
    /// Called with bytes that were read, before the reader of the connection gets them.
    fn on_read(&mut self, bytes: &[u8]);

    /// Called after `n` bytes were written.
    fn on_written(&mut self, n: usize);
}

/// A connection whose reads and writes are reported to an observer.
#[derive(Debug)]
pub struct Observed<T, I = TcpStream> {
    io: I,
    observer: T,
}

/// A TCP connection whose bytes are counted.
///
/// If the count of written bytes did not change, the peer has received nothing of the
/// data that was to be sent.
pub type CountedStream = Observed<Arc<SocketBytes>>;

/// A TCP connection to an HTTP/1 server. Its bytes are counted, and the line endings of its
/// response heads are recorded.
pub type ServerStream = Observed<(Arc<SocketBytes>, LineEndings)>;

impl<T, I> Observed<T, I> {
    /// Reports the bytes read from and written to `io` to `observer`.
    pub const fn new(io: I, observer: T) -> Observed<T, I> {
        Observed { io, observer }
    }
}

impl IoObserver for Arc<SocketBytes> {
    fn on_read(&mut self, bytes: &[u8]) {
        self.add_read(bytes.len());
    }

    fn on_written(&mut self, n: usize) {
        self.add_written(n);
    }
}

impl<T: IoObserver, U: IoObserver> IoObserver for (T, U) {
    fn on_read(&mut self, bytes: &[u8]) {
        self.0.on_read(bytes);
        self.1.on_read(bytes);
    }

    fn on_written(&mut self, n: usize) {
        self.0.on_written(n);
        self.1.on_written(n);
    }
}

impl<T: IoObserver + Unpin, I: AsyncRead + Unpin> AsyncRead for Observed<T, I> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.io).poll_read(cx, buf);
        let read = &buf.filled()[before..];
        if !read.is_empty() {
            self.observer.on_read(read);
        }
        polled
    }
}

impl<T: IoObserver + Unpin, I: AsyncWrite + Unpin> AsyncWrite for Observed<T, I> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.io).poll_write(cx, buf);
        if let Poll::Ready(Ok(n)) = polled {
            self.observer.on_written(n);
        }
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.io).poll_write_vectored(cx, bufs);
        if let Poll::Ready(Ok(n)) = polled {
            self.observer.on_written(n);
        }
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
