//! Starts the pipelined requests of one connection early.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use http::Method;
use http::Request;
use http::Response;
use sassafrasspool_wire::IoObserver;
use tokio_util::task::AbortOnDropHandle;

use super::request_head;
use super::request_head::NextRequest;
use crate::traffic::answer_body::AnswerBody;
use crate::traffic::outbound::caller_side;
use crate::traffic::outbound::caller_side::CallerPort;
use crate::traffic::payload::Payload;
use crate::traffic::worker::Worker;

/// The most requests of one connection that are started early and not yet taken.
const MAX_STARTED: usize = 16;

/// The most bytes of an incomplete head that are buffered. After a longer head, requests
/// are served in their turn.
const MAX_BUFFERED_BYTES: usize = 32 * 1024;

/// A request that was started before its turn. Dropping it aborts it.
pub(super) type StartedRequest = AbortOnDropHandle<Response<AnswerBody>>;

/// The requests of one connection that were started before their turn.
///
/// # Invariants
///
/// Requests are numbered from 0 in the order of their bytes, and the library takes them in
/// that order. The requests in `started` haven't been taken yet.
#[derive(Debug, Clone)]
pub(in crate::traffic::listener::serve) struct Pipeline(Arc<Mutex<State>>);

#[derive(Debug)]
struct State {
    worker: Arc<Worker>,
    port: CallerPort,
    /// Bytes of an incomplete head.
    buffered: Vec<u8>,
    /// Bytes of a body that are still to be skipped.
    skip_bytes: u64,
    /// Cleared once the bytes can't be parsed any more.
    is_parsing: bool,
    /// Requests whose heads were parsed.
    parsed: u64,
    /// Requests that the library has taken.
    taken: u64,
    /// Requests whose answers have ended.
    answered: u64,
    /// Whether the caller knows that no further request is read.
    is_last_announced: bool,
    started: BTreeMap<u64, StartedRequest>,
}

/// One request that the library has taken. Dropping it records that its answer has ended.
#[derive(Debug)]
pub(in crate::traffic) struct AnswerInProgress(Pipeline);

impl Pipeline {
    pub(in crate::traffic::listener::serve) fn new(
        worker: Arc<Worker>,
        port: CallerPort,
    ) -> Pipeline {
        Pipeline(Arc::new(Mutex::new(State {
            worker,
            port,
            buffered: Vec::new(),
            skip_bytes: 0,
            is_parsing: true,
            parsed: 0,
            taken: 0,
            answered: 0,
            is_last_announced: false,
            started: BTreeMap::new(),
        })))
    }

    /// Takes the next request. Returns the started request, if it was started early, and
    /// the guard of its answer.
    pub(in crate::traffic::listener::serve) fn take_next(
        &self,
    ) -> (Option<StartedRequest>, AnswerInProgress) {
        let mut state = self.lock();
        let number = state.taken;
        state.taken += 1;
        // INVARIANT: The library has taken it, so that `started` no longer contains it.
        let started = state.started.remove(&number);
        (started, AnswerInProgress(self.clone()))
    }

    /// Whether the library has yet to take requests that were started. The connection must
    /// not be closed before they are answered, since their targets have received them.
    pub(in crate::traffic::listener::serve) fn has_started(&self) -> bool {
        !self.lock().started.is_empty()
    }

    /// Records that the caller asked for the close of the connection, or that an answer
    /// announces it.
    pub(in crate::traffic::listener::serve) fn record_last_request(&self) {
        self.lock().is_last_announced = true;
    }

    /// Whether the caller may send its next request without expecting the close of the
    /// connection. False if it uses HTTP/2.
    pub(in crate::traffic::listener::serve) fn awaits_request(&self) -> bool {
        let state = self.lock();
        let is_http1 = state.taken > 0 || state.is_parsing;
        let is_idle = state.taken == state.answered && state.started.is_empty();
        is_http1 && is_idle && !state.is_last_announced
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // No code under the lock panics in the middle of a change.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for AnswerInProgress {
    fn drop(&mut self) {
        self.0.lock().answered += 1;
    }
}

impl IoObserver for Pipeline {
    fn on_read(&mut self, bytes: &[u8]) {
        self.lock().inspect(bytes);
    }

    fn on_written(&mut self, _: usize) {}
}

impl State {
    /// Inspects bytes that the library is about to read.
    fn inspect(&mut self, bytes: &[u8]) {
        if !self.is_parsing {
            return;
        }
        let rest = self.skip_body(bytes);
        if self.buffered.is_empty() {
            let used = self.parse_heads(rest);
            self.buffer(&rest[used..]);
            return;
        }
        let mut buffered = std::mem::take(&mut self.buffered);
        buffered.extend_from_slice(rest);
        let used = self.parse_heads(&buffered);
        self.buffer(&buffered[used..]);
    }

    /// Skips the rest of a body. Returns the bytes that follow it.
    fn skip_body<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let skipped = usize::try_from(self.skip_bytes).unwrap_or(usize::MAX);
        let skipped = skipped.min(bytes.len());
        self.skip_bytes -= skipped as u64;
        &bytes[skipped..]
    }

    fn buffer(&mut self, rest: &[u8]) {
        if rest.len() > MAX_BUFFERED_BYTES {
            self.is_parsing = false;
        }
        if self.is_parsing {
            self.buffered = rest.to_vec();
        }
    }

    /// Parses the complete heads in `bytes`. Returns how many bytes were used.
    fn parse_heads(&mut self, bytes: &[u8]) -> usize {
        let mut rest = bytes;
        while !rest.is_empty() && self.is_parsing {
            match request_head::parse_next(rest) {
                NextRequest::Partial => break,
                NextRequest::Unknown => self.is_parsing = false,
                NextRequest::WithoutBody(len, req) => {
                    rest = &rest[len..];
                    self.start_if_waiting(*req);
                    self.parsed += 1;
                }
                NextRequest::WithBody(len, body) => {
                    self.parsed += 1;
                    self.skip_bytes = body;
                    rest = self.skip_body(&rest[len..]);
                }
            }
        }
        bytes.len() - rest.len()
    }

    /// Starts a request that would wait for earlier ones, if it is idempotent. If the
    /// connection ends before its turn, its caller sends it again.
    fn start_if_waiting(&mut self, req: Request<()>) {
        let number = self.parsed;
        let waits = number > self.answered;
        if !waits || self.started.len() == MAX_STARTED || req.method() != Method::GET {
            return;
        }
        if self.worker.hub.closes_caller_connections()
            || !caller_side::is_idempotent(&self.worker, &req)
        {
            return;
        }
        let worker = Arc::clone(&self.worker);
        let port = self.port;
        let req = req.map(|()| Payload::empty());
        let work = async move { caller_side::serve(&worker, port, req).await };
        let started = AbortOnDropHandle::new(tokio::spawn(work));
        self.started.insert(number, started);
    }
}
