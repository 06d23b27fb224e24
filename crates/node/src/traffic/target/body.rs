//! The body of a target's answer.

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
use super::pool::put_back;
use crate::Clock;
use crate::traffic::BoxError;
use crate::traffic::stored_answer::Recorder;
use crate::traffic::target::crash_watch::Watched;

/// What the target answers, together with the connection that it comes by.
///
/// # Invariants
///
/// The connection goes back to the pool only if the answer has ended and the
/// request was sent whole; else it is closed with this body.
#[derive(Debug)]
pub(in crate::traffic) struct TargetBody {
    body: Incoming,
    conn: Option<Connection>,
    ended: bool,
    held: Option<Held>,
    recorder: Option<Box<Recorder>>,
}

/// The request's last stage, which holds its slot.
#[derive(Debug)]
struct Held {
    stage: Stage<Answered>,
    clock: Clock,
    watched: Option<Box<Watched>>,
}

impl TargetBody {
    pub(super) fn new(body: Incoming, conn: Connection) -> TargetBody {
        TargetBody {
            ended: body.is_end_stream(),
            body,
            conn: Some(conn),
            held: None,
            recorder: None,
        }
    }

    /// The same, which holds a slot until it ends.
    pub(in crate::traffic) fn holding(
        mut self,
        stage: Stage<Answered>,
        clock: Clock,
        watched: Option<Box<Watched>>,
    ) -> TargetBody {
        self.held = Some(Held {
            stage,
            clock,
            watched,
        });
        self
    }

    /// The same, which is kept for repeats when it has ended.
    pub(in crate::traffic) fn recorded(mut self, recorder: Option<Box<Recorder>>) -> TargetBody {
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

    /// Gives the connection back, if it is fit for another exchange.
    fn release(&mut self) {
        let Some(mut conn) = self.conn.take() else {
            return;
        };
        if !self.ended {
            return;
        }
        // The connection has yet to notice that the exchange is over.
        conn.drive(&mut Context::from_waker(Waker::noop()));
        if conn.is_usable() {
            // INVARIANT: Ended, and a connection that still has a request to
            // send isn't usable.
            put_back(conn);
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
                    recorder.take(frame);
                }
            }
            Poll::Ready(Some(Err(_))) => {
                let held = self.held.as_ref();
                if let Some(watched) = held.and_then(|held| held.watched.as_ref()) {
                    watched.lost();
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
        self.release();
        // The slot is free only once the connection is back or closed, so
        // that its next holder finds a connection.
        let Some(held) = self.held.take() else {
            return;
        };
        let Held {
            stage,
            clock,
            watched,
        } = held;
        if self.ended {
            if let Some(watched) = watched {
                watched.answered();
            }
            if let Some(recorder) = self.recorder.take() {
                recorder.finish(clock.now());
            }
            stage.finish(clock.now());
        } else {
            // The connection or stream that this body is of fails by itself.
            let _ = stage.cut_short(clock.now(), LossCause::AnswerCut);
        }
    }
}
