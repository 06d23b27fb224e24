//! The body of an answer of the local target.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

use bytes::Bytes;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use hyper::body::Incoming;
use sassafrasspool_core::Answered;
use sassafrasspool_core::LossCause;
use sassafrasspool_core::Request as Stage;

use super::connection::Connection;
use super::pool::return_to_pool;
use crate::Clock;
use crate::traffic::BoxError;
use crate::traffic::stored_answer::AnswerRecorder;
use crate::traffic::target::crash_watch::WatchedRequest;

/// The body of an answer, together with the connection on which it arrives.
///
/// # Invariants
///
/// The connection returns to the pool only if the answer has ended and the request
/// was sent completely. Otherwise it is closed when this body is dropped.
#[derive(Debug)]
pub(in crate::traffic) struct TargetBody {
    body: Incoming,
    conn: Option<Connection>,
    ended: bool,
    slot: Option<HeldSlot>,
    recorder: Option<Box<AnswerRecorder>>,
}

/// The last stage of the request, which holds its slot.
#[derive(Debug)]
struct HeldSlot {
    stage: Stage<Answered>,
    clock: Clock,
    watched: Option<Box<WatchedRequest>>,
}

impl TargetBody {
    pub(super) fn new(body: Incoming, conn: Connection) -> TargetBody {
        TargetBody {
            ended: body.is_end_stream(),
            body,
            conn: Some(conn),
            slot: None,
            recorder: None,
        }
    }

    /// Attaches the slot of the request, which the body holds until it is dropped.
    pub(in crate::traffic) fn with_slot(
        mut self,
        stage: Stage<Answered>,
        clock: Clock,
        watched: Option<Box<WatchedRequest>>,
    ) -> TargetBody {
        self.slot = Some(HeldSlot {
            stage,
            clock,
            watched,
        });
        self
    }

    /// Attaches a recorder, which stores the complete answer for repeats of the request.
    pub(in crate::traffic) fn with_recorder(
        mut self,
        recorder: Option<Box<AnswerRecorder>>,
    ) -> TargetBody {
        self.recorder = recorder;
        self
    }

    fn poll_body(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        if let Poll::Ready(frame) = Pin::new(&mut self.body).poll_frame(cx) {
            return Poll::Ready(frame);
        }
        if let Some(conn) = &mut self.conn {
            conn.drive(cx);
        }
        Pin::new(&mut self.body).poll_frame(cx)
    }

    /// Returns the connection to the pool, if it can carry another exchange.
    fn release_connection(&mut self) {
        let Some(mut conn) = self.conn.take() else {
            return;
        };
        if !self.ended {
            return;
        }
        // The connection only notices the end of the exchange when it is polled.
        conn.drive(&mut Context::from_waker(Waker::noop()));
        if conn.is_usable() {
            // INVARIANT: The answer has ended, and a connection that still has a
            // part of the request to send isn't usable.
            return_to_pool(conn);
        }
    }
}

impl Body for TargetBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let polled = self.poll_body(cx);
        match &polled {
            Poll::Ready(None) => self.ended = true,
            Poll::Ready(Some(Ok(frame))) => {
                self.ended = self.body.is_end_stream();
                if let Some(recorder) = &mut self.recorder {
                    recorder.record(frame);
                }
            }
            Poll::Ready(Some(Err(_))) => {
                let slot = self.slot.as_ref();
                if let Some(watched) = slot.and_then(|slot| slot.watched.as_ref()) {
                    watched.record_broken_connection();
                }
            }
            Poll::Pending => {}
        }
        polled.map_err(BoxError::from)
    }

    fn is_end_stream(&self) -> bool {
        self.ended
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for TargetBody {
    fn drop(&mut self) {
        self.release_connection();
        // The slot is freed only after the connection is returned or closed, so
        // that the next holder of the slot finds a connection.
        let Some(slot) = self.slot.take() else {
            return;
        };
        let HeldSlot {
            stage,
            clock,
            watched,
        } = slot;
        if self.ended {
            if let Some(watched) = watched {
                watched.record_answer();
            }
            if let Some(recorder) = self.recorder.take() {
                recorder.finish(clock.now());
            }
            stage.finish(clock.now());
        } else {
            // The connection or stream that carries this body fails by itself.
            let _ = stage.cut_short(clock.now(), LossCause::AnswerCut);
        }
    }
}
