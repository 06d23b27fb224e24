//! Bodies of answers that are sent to a caller.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use hyper::body::Incoming;
use metrics::counter;
use sassafrasspool_core::Link;

use self::limited::LimitedBody;
use super::BoxError;
use super::bounds::MAX_UNSIZED_ANSWER_BYTES;
use super::listener::serve::AnswerInProgress;
use super::source_timer::SourceTimer;
use super::target::TargetBody;
use crate::InFlightGuard;
use crate::metrics::traffic;

mod delivery;
mod limited;

pub(super) use self::delivery::DeliveryLog;
pub(super) use self::limited::LinkShare;

/// The body of an answer. Its request counts as in flight until the body ends.
///
/// An error of the source ends the answer with an error as well: over HTTP/1.1 the
/// connection closes before the announced length, over HTTP/2 the stream is reset. A cut
/// answer therefore never looks complete.
#[derive(Debug)]
pub(super) struct AnswerBody {
    source: Source,
    /// The link that counts its bytes; `None` for large answers, which are granted theirs.
    link: Option<Link>,
    /// Bounds the waits for the source; `None` for a text from this node.
    source_timer: Option<SourceTimer>,
    /// Bytes that may still come from a source that doesn't state its size.
    unsized_left: Option<u64>,
    _in_flight: Option<InFlightGuard>,
    /// Marks the answer as in progress in the connection's pipeline until it ends.
    _pipeline_guard: Option<AnswerInProgress>,
}

#[derive(Debug)]
enum Source {
    Text(Option<Bytes>),
    Peer(Incoming),
    Target(TargetBody),
    Limited(LimitedBody),
}

impl Source {
    fn poll_frame(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        match self {
            Source::Text(text) => Poll::Ready(text.take().map(|text| Ok(Frame::data(text)))),
            Source::Peer(body) => Pin::new(body).poll_frame(cx).map_err(BoxError::from),
            Source::Target(body) => Pin::new(body).poll_frame(cx),
            Source::Limited(body) => body.poll_frame(cx),
        }
    }

    /// Whether the next bytes wait for the link, so that their source isn't stalled.
    fn waits_for_link(&self) -> bool {
        matches!(self, Source::Limited(body) if body.waits_for_link())
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Source::Text(text) => text.is_none(),
            Source::Peer(body) => body.is_end_stream(),
            Source::Target(body) => body.is_end_stream(),
            Source::Limited(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Source::Text(None) => SizeHint::with_exact(0),
            Source::Text(Some(text)) => SizeHint::with_exact(text.len() as u64),
            Source::Peer(body) => body.size_hint(),
            Source::Target(body) => body.size_hint(),
            Source::Limited(body) => body.size_hint(),
        }
    }
}

impl AnswerBody {
    /// A text from this node.
    pub(super) fn from_text(text: impl Into<Bytes>) -> AnswerBody {
        AnswerBody::new(Source::Text(Some(text.into())), None)
    }

    /// The body of another node's answer, which has `left` until the deadline of its request.
    pub(super) fn from_peer(body: Incoming, left: Duration) -> AnswerBody {
        AnswerBody::new(Source::Peer(body), Some(SourceTimer::new(left)))
    }

    /// The body of the local target's answer, which has `left` until the deadline of its
    /// request.
    pub(super) fn from_target(body: TargetBody, left: Duration) -> AnswerBody {
        AnswerBody::new(Source::Target(body), Some(SourceTimer::new(left)))
    }

    fn new(source: Source, source_timer: Option<SourceTimer>) -> AnswerBody {
        let is_unsized = source.size_hint().exact().is_none();
        AnswerBody {
            source,
            link: None,
            source_timer,
            unsized_left: is_unsized.then_some(MAX_UNSIZED_ANSWER_BYTES),
            _in_flight: None,
            _pipeline_guard: None,
        }
    }

    /// The same body, with the guard that counts its request as in flight until it ends.
    pub(super) fn with_in_flight_guard(mut self, guard: InFlightGuard) -> AnswerBody {
        self._in_flight = Some(guard);
        self
    }

    /// The same body, with the guard that records the end of the answer in the pipeline of
    /// its connection.
    pub(super) fn with_pipeline_guard(mut self, guard: Option<AnswerInProgress>) -> AnswerBody {
        self._pipeline_guard = guard;
        self
    }

    /// The same body, sent as the link grants it.
    pub(super) fn limited(mut self, share: LinkShare) -> AnswerBody {
        let body = LimitedBody::new(self.source, share);
        self.source = Source::Limited(body);
        self
    }

    /// The same body, whose bytes are counted as other traffic of the link, unless the link
    /// grants them.
    pub(super) fn counted(mut self, link: Option<&Link>) -> AnswerBody {
        if !matches!(self.source, Source::Limited(_)) {
            self.link = link.cloned();
        }
        self
    }

    /// Whether the link grants its bytes.
    pub(super) fn is_limited(&self) -> bool {
        matches!(self.source, Source::Limited(_))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let polled = self.source.poll_frame(cx);
        let waits_for_source = polled.is_pending() && !self.source.waits_for_link();
        if let Some(timer) = &mut self.source_timer {
            if !waits_for_source {
                timer.stop_waiting();
            } else if timer.poll_elapsed(cx).is_ready() {
                return Poll::Ready(Some(Err(cut("timeout"))));
            }
        }
        let Poll::Ready(Some(Ok(frame))) = &polled else {
            return polled;
        };
        let bytes = frame.data_ref().map_or(0, |data| data.len() as u64);
        if let Some(link) = &self.link {
            link.record_other(bytes);
        }
        if let Some(left) = &mut self.unsized_left {
            match left.checked_sub(bytes) {
                Some(rest) => *left = rest,
                None => return Poll::Ready(Some(Err(cut("too-large")))),
            }
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.source.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.source.size_hint()
    }
}

/// Counts an answer that this node cuts, and returns the error that ends it.
fn cut(reason: &'static str) -> BoxError {
    counter!(traffic::ANSWERS_CUT, "reason" => reason).increment(1);
    format!("the answer was cut: {reason}").into()
}
