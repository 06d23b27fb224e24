//! A count of the requests in flight that can be closed to new ones.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use crate::AtomicWord;
use crate::Reason;
use crate::Refusal;
use crate::Step;

/// The bit that is set when the gate is closed. The lower bits are the count.
const CLOSED_BIT: u64 = 1 << 63;

/// Counts requests in flight, and refuses new ones once it is closed.
///
/// # Invariants
///
/// The closed bit and the count are in one atomic word: after the write that
/// closes the gate no request enters, so that a count of zero read from a
/// closed gate is final.
pub struct Gate<W: AtomicWord = AtomicU64>(Arc<W>);

impl<W: AtomicWord> Gate<W> {
    /// An open gate.
    pub fn open() -> Gate<W> {
        Gate(Arc::new(W::zero()))
    }

    /// Admits a request.
    ///
    /// # Errors
    ///
    /// Refuses as not run if the gate is closed.
    pub fn enter(&self) -> Result<GatePass<W>, Refusal> {
        loop {
            let word = self.0.load();
            if word & CLOSED_BIT != 0 {
                return Err(Refusal::not_run(Step::Admission, Reason::Draining));
            }
            if self.0.compare_and_set(word, word + 1) {
                return Ok(GatePass(self.0.clone()));
            }
        }
    }

    /// Whether the gate is closed.
    pub fn is_closed(&self) -> bool {
        self.0.load() & CLOSED_BIT != 0
    }

    /// The number of requests in flight.
    pub fn in_flight(&self) -> u64 {
        self.0.load() & !CLOSED_BIT
    }

    pub(super) fn close(&self) {
        self.update(|word| word | CLOSED_BIT);
    }

    pub(super) fn reopen(&self) {
        self.update(|word| word & !CLOSED_BIT);
    }

    fn update(&self, to: impl Fn(u64) -> u64) {
        loop {
            let word = self.0.load();
            if self.0.compare_and_set(word, to(word)) {
                return;
            }
        }
    }
}

impl<W: AtomicWord> Clone for Gate<W> {
    fn clone(&self) -> Gate<W> {
        Gate(self.0.clone())
    }
}

impl<W: AtomicWord> fmt::Debug for Gate<W> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Gate")
            .field("closed", &self.is_closed())
            .field("in_flight", &self.in_flight())
            .finish()
    }
}

/// Counts a request as in flight until it is dropped, which is when the whole
/// answer has been sent.
#[must_use = "dropping it ends the count of the request as in flight"]
pub struct GatePass<W: AtomicWord = AtomicU64>(Arc<W>);

impl<W: AtomicWord> Drop for GatePass<W> {
    fn drop(&mut self) {
        loop {
            let word = self.0.load();
            if self.0.compare_and_set(word, word - 1) {
                return;
            }
        }
    }
}

impl<W: AtomicWord> fmt::Debug for GatePass<W> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("GatePass")
    }
}
