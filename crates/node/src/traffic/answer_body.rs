//! Bodies of answers that are sent to a caller.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use hyper::body::Incoming;

use super::BoxError;
use super::listener::serve::AnswerInProgress;
use super::stall_detector::StallDetector;
use super::target::TargetBody;
use crate::InFlightGuard;

/// The body of an answer. Its request counts as in flight until the body ends.
///
/// An error of the source ends the answer with an error as well: over HTTP/1.1 the
/// connection closes before the announced length, over HTTP/2 the stream is reset. A cut
/// answer therefore never looks complete.
#[derive(Debug)]
pub(super) struct AnswerBody {
    source: Source,
    stall_detector: StallDetector,
    _in_flight: Option<InFlightGuard>,
    /// Marks the answer as in progress in the connection's pipeline until it ends.
    _pipeline_guard: Option<AnswerInProgress>,
}

#[derive(Debug)]
enum Source {
    Text(Option<Bytes>),
    Peer(Incoming),
    Target(TargetBody),
}

impl AnswerBody {
    /// A text from this node.
    pub(super) fn from_text(text: impl Into<Bytes>) -> AnswerBody {
        AnswerBody::new(Source::Text(Some(text.into())))
    }

    /// The body of another node's answer.
    pub(super) fn from_peer(body: Incoming) -> AnswerBody {
        AnswerBody::new(Source::Peer(body))
    }

    /// The body of the local target's answer.
    pub(super) fn from_target(body: TargetBody) -> AnswerBody {
        AnswerBody::new(Source::Target(body))
    }

    fn new(source: Source) -> AnswerBody {
        AnswerBody {
            source,
            stall_detector: StallDetector::new(),
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

    fn poll_source(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        match &mut self.source {
            Source::Text(text) => Poll::Ready(text.take().map(|text| Ok(Frame::data(text)))),
            Source::Peer(body) => Pin::new(body).poll_frame(cx).map_err(BoxError::from),
            Source::Target(body) => Pin::new(body).poll_frame(cx),
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        match self.poll_source(cx) {
            Poll::Ready(frame) => {
                self.stall_detector.record_progress();
                Poll::Ready(frame)
            }
            Poll::Pending => self
                .stall_detector
                .poll_stalled(cx)
                .map(|stalled| Some(Err(stalled))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.source {
            Source::Text(text) => text.is_none(),
            Source::Peer(body) => body.is_end_stream(),
            Source::Target(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Text(None) => SizeHint::with_exact(0),
            Source::Text(Some(text)) => SizeHint::with_exact(text.len() as u64),
            Source::Peer(body) => body.size_hint(),
            Source::Target(body) => body.size_hint(),
        }
    }
}
