//! The body of an answer, streamed in chunks.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use tokio::sync::OwnedSemaphorePermit;

use super::run_guard::RunGuard;

/// The size of a chunk in bytes. A run counts as finished only with its last
/// chunk, so that a caller's disconnect during a long answer is recorded.
const CHUNK_BYTES: usize = 16 * 1024;

/// The body of an answer or a refusal.
#[derive(Debug)]
pub(super) struct AnswerStream {
    remaining: Bytes,
    cut: Option<Cut>,
    run: Option<RunGuard>,
    _slot: Option<OwnedSemaphorePermit>,
}

/// A planned cut of the body.
#[derive(Debug, Clone, Copy)]
struct Cut {
    /// The number of bytes that are never sent.
    missing: usize,
    /// Whether the connection had a chance to flush the bytes before the cut.
    flushed: bool,
}

impl AnswerStream {
    /// The body of a refusal or probe.
    pub(super) fn text(text: impl Into<Bytes>) -> AnswerStream {
        AnswerStream {
            remaining: text.into(),
            cut: None,
            run: None,
            _slot: None,
        }
    }

    /// The answer to a run, which holds its slot until the body is dropped.
    pub(super) fn answer(body: Bytes, run: RunGuard, slot: OwnedSemaphorePermit) -> AnswerStream {
        AnswerStream {
            remaining: body,
            cut: None,
            run: Some(run),
            _slot: Some(slot),
        }
    }

    /// Fails the answer after half of its body.
    pub(super) fn cut_in_half(mut self) -> AnswerStream {
        self.cut = Some(Cut {
            missing: self.remaining.len().div_ceil(2),
            flushed: false,
        });
        self
    }

    fn next_chunk(&mut self) -> Option<Bytes> {
        let missing = self.cut.map_or(0, |cut| cut.missing);
        let len = (self.remaining.len() - missing).min(CHUNK_BYTES);
        if len == 0 {
            return None;
        }
        let chunk = self.remaining.split_to(len);
        if self.remaining.is_empty() {
            self.finish();
        }
        Some(chunk)
    }

    fn finish(&mut self) {
        if let Some(run) = &mut self.run {
            run.finish();
        }
    }
}

impl Body for AnswerStream {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if let Some(chunk) = self.next_chunk() {
            return Poll::Ready(Some(Ok(Frame::data(chunk))));
        }
        match &mut self.cut {
            None => Poll::Ready(None),
            Some(cut) if !cut.flushed => {
                // The connection flushes when its body is pending. Failing
                // immediately would discard the first half unsent.
                cut.flushed = true;
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            Some(_) => Poll::Ready(Some(Err(io::Error::other("answer cut by a switch")))),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.remaining.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        let len = u64::try_from(self.remaining.len()).unwrap_or(u64::MAX);
        SizeHint::with_exact(len)
    }
}
