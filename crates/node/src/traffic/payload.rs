//! Bodies of requests that are forwarded to a target.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use bytes::Buf;
use bytes::Bytes;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::BoxError;
use super::body_memory::BodyMemory;
use super::body_memory::MemoryReservation;
use super::bounds::MAX_BODY_BYTES;
use super::bounds::UPLOAD_WINDOW_BYTES;

/// The body of a request.
#[derive(Debug)]
pub(super) enum Payload {
    /// Buffered completely, so that it can be sent again.
    Buffered(BufferedBody),
    /// Forwarded while it is received, and counted against the bound.
    Stream {
        /// The body as the caller sends it.
        body: Upload,
        /// Bytes that may still be received.
        left: u64,
    },
}

impl Payload {
    /// An empty body.
    pub(super) fn empty() -> Payload {
        Payload::Buffered(BufferedBody::default())
    }

    /// A body that is forwarded while a caller sends it.
    pub(super) fn streaming(body: Incoming) -> Payload {
        if body.is_end_stream() {
            return Payload::empty();
        }
        Payload::Stream {
            body: Upload {
                body,
                read_to_end: ReadStatus::default(),
            },
            left: MAX_BODY_BYTES,
        }
    }

    /// A handle that shows later whether all of a streamed body was read; `None` for a
    /// buffered body.
    pub(super) fn read_status(&self) -> Option<ReadStatus> {
        match self {
            Payload::Buffered(_) => None,
            Payload::Stream { body, .. } => Some(body.read_to_end.clone()),
        }
    }

    /// Sets another bound on the bytes of the body.
    ///
    /// # Errors
    ///
    /// Fails if the size that the sender announces is larger than the bound.
    pub(super) fn bounded(self, bound: u64) -> Result<Payload, TooLarge> {
        if self.size_hint().lower() > bound {
            return Err(TooLarge);
        }
        Ok(match self {
            Payload::Stream { body, .. } => Payload::Stream { body, left: bound },
            buffered @ Payload::Buffered(_) => buffered,
        })
    }

    /// Whether the body is known to be so short that it arrives with its head.
    pub(super) fn is_short(&self) -> bool {
        let upper = self.size_hint().upper();
        upper.is_some_and(|bytes| bytes <= u64::from(UPLOAD_WINDOW_BYTES))
    }

    /// Size in bytes of a body that is not buffered; `None` if the size is unknown or the
    /// body is buffered.
    pub(super) fn streamed_bytes(&self) -> Option<u64> {
        match self {
            Payload::Stream { body, .. } => body.size_hint().upper(),
            Payload::Buffered(_) => None,
        }
    }

    /// Receives and buffers a body of known size, if there is enough memory for it.
    ///
    /// # Errors
    ///
    /// Fails if the sender aborts the body.
    pub(super) async fn buffer(self, body_memory: &BodyMemory) -> Result<Payload, hyper::Error> {
        let memory = self
            .streamed_bytes()
            .and_then(|bytes| body_memory.reserve(bytes));
        match (self, memory) {
            (Payload::Stream { body, .. }, Some(memory)) => {
                let bytes = body.collect().await?.to_bytes();
                Ok(Payload::Buffered(BufferedBody {
                    bytes,
                    _memory: Some(memory),
                }))
            }
            (payload, _) => Ok(payload),
        }
    }

    /// A clone of the body, if it is buffered.
    pub(super) fn try_clone(&self) -> Option<Payload> {
        match self {
            Payload::Buffered(body) => Some(Payload::Buffered(body.clone())),
            Payload::Stream { .. } => None,
        }
    }
}

/// A body in memory, which is reserved until the last clone is dropped.
#[derive(Debug, Clone, Default)]
pub(super) struct BufferedBody {
    bytes: Bytes,
    _memory: Option<MemoryReservation>,
}

impl BufferedBody {
    /// The bytes of the body; empty after it was sent.
    pub(super) fn bytes(&self) -> &Bytes {
        &self.bytes
    }
}

/// Whether all of a body was read.
#[derive(Debug, Clone, Default)]
pub(super) struct ReadStatus(Arc<AtomicBool>);

impl ReadStatus {
    /// Whether the body was read to its end.
    pub(super) fn is_complete(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// A body that is being received, which records when it was read to its end.
#[derive(Debug)]
pub(super) struct Upload {
    body: Incoming,
    read_to_end: ReadStatus,
}

impl Body for Upload {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let Upload { body, read_to_end } = self.get_mut();
        let polled = Pin::new(&mut *body).poll_frame(cx);
        if matches!(polled, Poll::Ready(None)) || body.is_end_stream() {
            read_to_end.0.store(true, Ordering::Relaxed);
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// The body is larger than the bound.
#[derive(Debug)]
pub(super) struct TooLarge;

impl Body for Payload {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        match self.get_mut() {
            Payload::Buffered(body) if body.bytes.is_empty() => Poll::Ready(None),
            Payload::Buffered(body) => {
                let bytes = std::mem::take(&mut body.bytes);
                Poll::Ready(Some(Ok(Frame::data(bytes))))
            }
            Payload::Stream { body, left } => {
                let polled = Pin::new(body).poll_frame(cx);
                polled.map(|frame| frame.map(|frame| count_frame(frame?, left)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Payload::Buffered(body) => body.bytes.is_empty(),
            Payload::Stream { body, .. } => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Payload::Buffered(body) => SizeHint::with_exact(body.bytes.remaining() as u64),
            Payload::Stream { body, .. } => body.size_hint(),
        }
    }
}

fn count_frame(frame: Frame<Bytes>, left: &mut u64) -> Result<Frame<Bytes>, BoxError> {
    let len = frame.data_ref().map_or(0, |data| data.len() as u64);
    match left.checked_sub(len) {
        Some(rest) => {
            *left = rest;
            Ok(frame)
        }
        // The error closes the connection to the target, so that the target can't
        // take the part that was sent for a complete body.
        None => Err("the body is larger than the bound".into()),
    }
}
