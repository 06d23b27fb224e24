//! Bodies of large answers, which are sent as fast as the outgoing link permits.

use std::collections::VecDeque;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body::Frame;
use http_body::SizeHint;
use sassafrasspool_core::Tick;
use sassafrasspool_core::Transfer;

use super::Source;
use super::delivery::DeliveryLog;
use super::delivery::WaitsFor;
use crate::Clock;
use crate::traffic::BoxError;
use crate::traffic::answer_memory::AnswerMemory;
use crate::traffic::bounds::MAX_READ_AHEAD_BYTES;

/// What a large answer needs to be sent by the link.
#[derive(Debug)]
pub(in crate::traffic) struct LinkShare {
    pub(in crate::traffic) transfer: Transfer,
    /// Memory for the bytes that wait for the link.
    pub(in crate::traffic) memory: Arc<AnswerMemory>,
    pub(in crate::traffic) clock: Clock,
    /// `None` if the log is disabled.
    pub(in crate::traffic) log: Option<DeliveryLog>,
}

/// The body of a large answer, read ahead while it waits for the link.
///
/// A target's slot and connection are free once its answer is read. Otherwise answers that wait
/// for the link would hold the slots of requests that don't need it.
///
/// # Invariants
///
/// `buffered` is the number of bytes in `chunks`, which are held in the share's memory.
#[derive(Debug)]
pub(super) struct LimitedBody {
    /// The rest of the answer; dropped as soon as it is read.
    source: Option<Box<Source>>,
    /// What follows the chunks: trailers, or the error with which the answer broke off.
    end: Option<Result<Frame<Bytes>, BoxError>>,
    chunks: VecDeque<Bytes>,
    buffered: usize,
    /// Bytes that are still to be sent, if the answer states its size.
    left: Option<u64>,
    /// Whether the answer broke off.
    is_broken: bool,
    share: LinkShare,
}

impl LimitedBody {
    pub(super) fn new(source: Source, share: LinkShare) -> LimitedBody {
        LimitedBody {
            left: source.size_hint().exact(),
            source: (!source.is_end_stream()).then(|| Box::new(source)),
            end: None,
            chunks: VecDeque::new(),
            buffered: 0,
            is_broken: false,
            share,
        }
    }

    pub(super) fn poll_frame(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        self.read_ahead(cx);
        let now = self.share.clock.now();
        let Some(chunk) = self.chunks.front_mut() else {
            self.log_wait(now, WaitsFor::Source);
            if self.source.is_some() {
                return Poll::Pending;
            }
            let end = self.end.take();
            self.is_broken |= matches!(end, Some(Err(_)));
            if let Some(log) = self.share.log.as_mut().filter(|_| !self.is_broken) {
                log.complete();
            }
            return Poll::Ready(end);
        };
        let transfer = &mut self.share.transfer;
        let Some(granted) = transfer.poll_grant(now, chunk.len(), cx.waker()) else {
            self.log_wait(now, WaitsFor::Link);
            return Poll::Pending;
        };
        let data = chunk.split_to(granted);
        if chunk.is_empty() {
            self.chunks.pop_front();
        }
        self.count_sent(data.len());
        self.log_wait(now, WaitsFor::Receiver);
        Poll::Ready(Some(Ok(Frame::data(data))))
    }

    fn count_sent(&mut self, bytes: usize) {
        self.buffered -= bytes;
        self.share.memory.release(bytes);
        let left = self.left;
        self.left = left.map(|left| left.saturating_sub(bytes as u64));
        let is_complete = self.is_end_stream();
        if let Some(log) = &mut self.share.log {
            log.count(bytes);
            if is_complete {
                log.complete();
            }
        }
    }

    fn log_wait(&mut self, now: Tick, waits_for: WaitsFor) {
        if let Some(log) = &mut self.share.log {
            log.record(now, waits_for);
        }
    }

    /// Reads what the source has. Returns with the waker registered either at the source, or by
    /// the caller for the next grant.
    fn read_ahead(&mut self, cx: &mut Context<'_>) {
        while let Some(source) = &mut self.source {
            let is_full = self.buffered >= MAX_READ_AHEAD_BYTES || !self.share.memory.has_space();
            if self.buffered > 0 && is_full {
                return;
            }
            let frame = match source.poll_frame(cx) {
                Poll::Pending => return,
                Poll::Ready(frame) => frame,
            };
            let is_last = source.is_end_stream();
            match frame.map(|frame| frame.map(Frame::into_data)) {
                Some(Ok(Ok(data))) => self.push(data),
                Some(Ok(Err(trailers))) => self.end = Some(Ok(trailers)),
                Some(Err(err)) => {
                    self.end = Some(Err(err));
                    self.source = None;
                }
                None => self.source = None,
            }
            if is_last {
                self.source = None;
            }
        }
    }

    fn push(&mut self, data: Bytes) {
        if data.is_empty() {
            return;
        }
        self.buffered += data.len();
        self.share.memory.hold(data.len());
        self.chunks.push_back(data);
    }

    /// Whether the body waits for the link and not for its source.
    pub(super) fn waits_for_link(&self) -> bool {
        self.buffered > 0
    }

    pub(super) fn is_end_stream(&self) -> bool {
        self.source.is_none() && self.chunks.is_empty() && self.end.is_none()
    }

    pub(super) fn size_hint(&self) -> SizeHint {
        self.left
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

impl Drop for LimitedBody {
    fn drop(&mut self) {
        self.share.memory.release(self.buffered);
    }
}
