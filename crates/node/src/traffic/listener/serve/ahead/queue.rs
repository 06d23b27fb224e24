//! What was begun early on one connection.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use http::Method;
use http::Request;
use http::Response;
use sassafrasspool_wire::Tap;
use tokio_util::task::AbortOnDropHandle;

use super::head;
use super::head::Next;
use crate::traffic::answer::Answer;
use crate::traffic::outbound::caller_side;
use crate::traffic::outbound::caller_side::Side;
use crate::traffic::payload::Payload;
use crate::traffic::worker::Worker;

/// Requests that are begun early on one connection at most.
const MAX_BEGUN: usize = 16;

/// Bytes that are kept to find a head in; what is longer is taken in its turn.
const MAX_KEPT: usize = 32 * 1024;

/// A request that was begun before its turn; dropping it ends it.
pub(super) type Begun = AbortOnDropHandle<Response<Answer>>;

/// The requests of one connection that were begun before their turn.
///
/// # Invariants
///
/// Requests are numbered from 0 in the order of their bytes, and the library
/// takes them in that order. What is in `begun` has not been taken yet.
#[derive(Debug, Clone)]
pub(in crate::traffic::listener::serve) struct Ahead(Arc<Mutex<State>>);

#[derive(Debug)]
struct State {
    worker: Arc<Worker>,
    side: Side,
    /// Bytes of a head that isn't whole yet.
    kept: Vec<u8>,
    /// Bytes of a body that are still to be passed over.
    passed_over: u64,
    /// Cleared once the bytes can't be followed any more.
    follows: bool,
    /// Requests whose heads were read from the bytes.
    seen: u64,
    /// Requests that the library has taken.
    taken: u64,
    /// Requests whose answers have ended.
    ended: u64,
    begun: BTreeMap<u64, Begun>,
}

/// One request that was taken, until its answer has ended.
#[derive(Debug)]
pub(in crate::traffic) struct Behind(Ahead);

impl Ahead {
    pub(in crate::traffic::listener::serve) fn new(worker: Arc<Worker>, side: Side) -> Ahead {
        Ahead(Arc::new(Mutex::new(State {
            worker,
            side,
            kept: Vec::new(),
            passed_over: 0,
            follows: true,
            seen: 0,
            taken: 0,
            ended: 0,
            begun: BTreeMap::new(),
        })))
    }

    /// Takes the next request: what was begun of it, if it was, and what tells
    /// when its answer has ended.
    pub(in crate::traffic::listener::serve) fn take(&self) -> (Option<Begun>, Behind) {
        let mut state = self.lock();
        let number = state.taken;
        state.taken += 1;
        // INVARIANT: The library has it from now on.
        let begun = state.begun.remove(&number);
        (begun, Behind(self.clone()))
    }

    /// Whether requests were begun that the library has yet to take. The
    /// connection must not be closed before they are answered: their targets
    /// have them.
    pub(in crate::traffic::listener::serve) fn has_begun(&self) -> bool {
        !self.lock().begun.is_empty()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // Nothing under the lock panics halfway through a change.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Behind {
    fn drop(&mut self) {
        self.0.lock().ended += 1;
    }
}

impl Tap for Ahead {
    fn read(&mut self, bytes: &[u8]) {
        self.lock().look_at(bytes);
    }

    fn written(&mut self, _: usize) {}
}

impl State {
    /// Looks at bytes that the library is about to read.
    fn look_at(&mut self, bytes: &[u8]) {
        if !self.follows {
            return;
        }
        let rest = self.pass_over(bytes);
        if self.kept.is_empty() {
            let used = self.look_for_heads(rest);
            self.keep(&rest[used..]);
            return;
        }
        let mut kept = std::mem::take(&mut self.kept);
        kept.extend_from_slice(rest);
        let used = self.look_for_heads(&kept);
        self.keep(&kept[used..]);
    }

    /// Passes over what is left of a body; returns what follows it.
    fn pass_over<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let over = usize::try_from(self.passed_over).unwrap_or(usize::MAX);
        let over = over.min(bytes.len());
        self.passed_over -= over as u64;
        &bytes[over..]
    }

    fn keep(&mut self, rest: &[u8]) {
        if rest.len() > MAX_KEPT {
            self.follows = false;
        }
        if self.follows {
            self.kept = rest.to_vec();
        }
    }

    /// Returns how many bytes were used.
    fn look_for_heads(&mut self, bytes: &[u8]) -> usize {
        let mut rest = bytes;
        while !rest.is_empty() && self.follows {
            match head::next(rest) {
                Next::Partial => break,
                Next::Unknown => self.follows = false,
                Next::Whole(len, req) => {
                    rest = &rest[len..];
                    self.begin_if_behind(*req);
                    self.seen += 1;
                }
                Next::WithBody(len, body) => {
                    self.seen += 1;
                    self.passed_over = body;
                    rest = self.pass_over(&rest[len..]);
                }
            }
        }
        bytes.len() - rest.len()
    }

    /// Begins a request that would wait for others, if it may run twice: should
    /// the connection end before its turn, its caller sends it again.
    fn begin_if_behind(&mut self, req: Request<()>) {
        let number = self.seen;
        let waits = number > self.ended;
        if !waits || self.begun.len() == MAX_BEGUN || req.method() != Method::GET {
            return;
        }
        if self.worker.hub.sends_callers_away() || !caller_side::may_repeat(&self.worker, &req) {
            return;
        }
        let worker = Arc::clone(&self.worker);
        let side = self.side;
        let req = req.map(|()| Payload::empty());
        let work = async move { caller_side::serve(&worker, side, req).await };
        let begun = AbortOnDropHandle::new(tokio::spawn(work));
        self.begun.insert(number, begun);
    }
}
