//! Bodies of requests on their way to a target.

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
use super::bodies::Bodies;
use super::bodies::Room;
use super::bounds::MAX_BODY_BYTES;
use super::bounds::UPLOAD_WINDOW;

/// The body of a request.
#[derive(Debug)]
pub(super) enum Payload {
    /// Held whole, so that it can be sent again.
    Held(Held),
    /// Passed on as it comes, counted against the bound.
    Stream {
        /// What the caller sends.
        body: Upload,
        /// Bytes that may still come.
        left: u64,
    },
}

impl Payload {
    /// No body.
    pub(super) fn empty() -> Payload {
        Payload::Held(Held::default())
    }

    /// Takes what a caller sends as it comes.
    pub(super) fn stream(body: Incoming) -> Payload {
        if body.is_end_stream() {
            return Payload::empty();
        }
        Payload::Stream {
            body: Upload {
                body,
                taken: Taken::default(),
            },
            left: MAX_BODY_BYTES,
        }
    }

    /// Tells later whether all of it was taken; nothing to tell of one that is
    /// held.
    pub(super) fn taken(&self) -> Option<Taken> {
        match self {
            Payload::Held(_) => None,
            Payload::Stream { body, .. } => Some(body.taken.clone()),
        }
    }

    /// The same with another bound on its bytes.
    ///
    /// # Errors
    ///
    /// Fails if the sender says that it is larger than the bound.
    pub(super) fn bounded(self, bound: u64) -> Result<Payload, TooLarge> {
        if self.size_hint().lower() > bound {
            return Err(TooLarge);
        }
        Ok(match self {
            Payload::Stream { body, .. } => Payload::Stream { body, left: bound },
            held @ Payload::Held(_) => held,
        })
    }

    /// Whether it is known to be so short that it is there with its head.
    pub(super) fn is_short(&self) -> bool {
        let upper = self.size_hint().upper();
        upper.is_some_and(|bytes| bytes <= u64::from(UPLOAD_WINDOW))
    }

    /// Bytes that are to be taken in, if they are known and there may be room for
    /// them; nothing of a body that is held.
    pub(super) fn to_come(&self) -> Option<u64> {
        match self {
            Payload::Stream { body, .. } => body.size_hint().upper(),
            Payload::Held(_) => None,
        }
    }

    /// Holds a body whose size is known, if there is room for it.
    ///
    /// # Errors
    ///
    /// Fails if the body breaks off.
    pub(super) async fn hold(self, bodies: &Bodies) -> Result<Payload, hyper::Error> {
        let room = self.to_come().and_then(|bytes| bodies.room(bytes));
        match (self, room) {
            (Payload::Stream { body, .. }, Some(room)) => {
                let bytes = body.collect().await?.to_bytes();
                Ok(Payload::Held(Held {
                    bytes,
                    _room: Some(room),
                }))
            }
            (payload, _) => Ok(payload),
        }
    }

    /// The same body once more, if it is held.
    pub(super) fn again(&self) -> Option<Payload> {
        match self {
            Payload::Held(held) => Some(Payload::Held(held.clone())),
            Payload::Stream { .. } => None,
        }
    }
}

/// A body in memory, with the room that it takes until its last copy is gone.
#[derive(Debug, Clone, Default)]
pub(super) struct Held {
    bytes: Bytes,
    _room: Option<Room>,
}

impl Held {
    /// All of it, until it is sent.
    pub(super) fn bytes(&self) -> &Bytes {
        &self.bytes
    }
}

/// Whether all of a body was taken.
#[derive(Debug, Clone, Default)]
pub(super) struct Taken(Arc<AtomicBool>);

impl Taken {
    /// Whether it was.
    pub(super) fn is_whole(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// A body as it comes, which notes its end.
#[derive(Debug)]
pub(super) struct Upload {
    body: Incoming,
    taken: Taken,
}

impl Body for Upload {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let Upload { body, taken } = self.get_mut();
        let polled = Pin::new(&mut *body).poll_frame(cx);
        if matches!(polled, Poll::Ready(None)) || body.is_end_stream() {
            taken.0.store(true, Ordering::Relaxed);
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

/// A body is larger than the bound.
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
            Payload::Held(held) if held.bytes.is_empty() => Poll::Ready(None),
            Payload::Held(held) => {
                let whole = std::mem::take(&mut held.bytes);
                Poll::Ready(Some(Ok(Frame::data(whole))))
            }
            Payload::Stream { body, left } => {
                let polled = Pin::new(body).poll_frame(cx);
                polled.map(|frame| frame.map(|frame| count(frame?, left)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Payload::Held(held) => held.bytes.is_empty(),
            Payload::Stream { body, .. } => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Payload::Held(held) => SizeHint::with_exact(held.bytes.remaining() as u64),
            Payload::Stream { body, .. } => body.size_hint(),
        }
    }
}

fn count(frame: Frame<Bytes>, left: &mut u64) -> Result<Frame<Bytes>, BoxError> {
    let len = frame.data_ref().map_or(0, |data| data.len() as u64);
    match left.checked_sub(len) {
        Some(rest) => {
            *left = rest;
            Ok(frame)
        }
        // An error here closes the target's connection, so that the part that
        // was sent can't be taken for a whole body.
        None => Err("the body is larger than the bound".into()),
    }
}
