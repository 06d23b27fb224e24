//! The body of an answer, handed over in pieces.

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

/// The size of a piece in bytes. A run only counts as finished with its last
/// piece, so that a caller who hangs up amid a long answer is seen.
const CHUNK_BYTES: usize = 16 * 1024;

/// The body of an answer or a refusal.
#[derive(Debug)]
pub(super) struct AnswerStream {
    remaining: Bytes,
    cut: Option<Cut>,
    run: Option<RunGuard>,
    _slot: Option<OwnedSemaphorePermit>,
}

/// A cut that is to come.
#[derive(Debug, Clone, Copy)]
struct Cut {
    /// Bytes that are never handed over.
    missing: usize,
    /// Whether what came before was given time to be sent.
    flushed: bool,
}

impl AnswerStream {
    /// The text of a refusal or probe.
    pub(super) fn text(text: impl Into<Bytes>) -> AnswerStream {
        AnswerStream {
            remaining: text.into(),
            cut: None,
            run: None,
            _slot: None,
        }
    }

    /// The answer to a run, which holds its slot until it is handed over.
    pub(super) fn answer(body: Bytes, run: RunGuard, slot: OwnedSemaphorePermit) -> AnswerStream {
        AnswerStream {
            remaining: body,
            cut: None,
            run: Some(run),
            _slot: Some(slot),
        }
    }

    /// The same answer, breaking off in the middle.
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
                // The connection flushes when its body is pending; failing at
                // once would throw away the first half unsent.
                cut.flushed = true;
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            Some(_) => Poll::Ready(Some(Err(io::Error::other("cut on purpose")))),
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
