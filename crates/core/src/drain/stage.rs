//! The stages of a planned stop as types.

use std::sync::atomic::AtomicU64;
use std::time::Duration;

use crate::AtomicWord;
use crate::Gate;
use crate::Tick;

/// New requests are admitted.
#[derive(Debug)]
pub struct Serving(());

/// New requests are refused as not run. Those in flight continue until the
/// bound.
#[derive(Debug)]
pub struct Draining {
    until: Tick,
}

/// No request is in flight, or the bound has passed.
#[derive(Debug)]
pub struct Stopped {
    cut: u64,
}

/// A planned stop of a target or node, whose requests enter through a gate.
#[derive(Debug)]
pub struct Drain<S, W: AtomicWord = AtomicU64> {
    gate: Gate<W>,
    stage: S,
}

/// The result of polling a drain.
#[derive(Debug)]
pub enum Progress<W: AtomicWord = AtomicU64> {
    /// Requests are in flight and the bound hasn't passed.
    Waiting(Drain<Draining, W>),
    /// The drain has ended.
    Finished(Drain<Stopped, W>),
}

impl<W: AtomicWord> Drain<Serving, W> {
    /// Starts in the serving stage with a new, open gate.
    pub fn serving() -> Drain<Serving, W> {
        Drain {
            gate: Gate::open(),
            stage: Serving(()),
        }
    }

    /// Closes the gate. Requests in flight have `bound` to finish.
    pub fn begin(self, now: Tick, bound: Duration) -> Drain<Draining, W> {
        self.gate.close();
        let until = now + bound;
        Drain {
            gate: self.gate,
            stage: Draining { until },
        }
    }
}

impl<W: AtomicWord> Drain<Draining, W> {
    /// Applies a further planned stop during this one. It never shortens the
    /// bound, so that it cuts no request that could finish in the first.
    pub fn extend(mut self, now: Tick, bound: Duration) -> Drain<Draining, W> {
        self.stage.until = self.stage.until.max(now + bound);
        self
    }

    /// The end of the bound.
    pub const fn until(&self) -> Tick {
        self.stage.until
    }

    /// Checks whether the drain has ended: no request is in flight, or the bound
    /// has passed.
    pub fn poll(self, now: Tick) -> Progress<W> {
        let in_flight = self.gate.in_flight();
        if in_flight > 0 && now < self.stage.until {
            return Progress::Waiting(self);
        }
        // INVARIANT: The gate is closed, so that the count can't grow again.
        Progress::Finished(Drain {
            gate: self.gate,
            stage: Stopped { cut: in_flight },
        })
    }

    /// Admits new requests again, for example after a restart of the target.
    pub fn reopen(self) -> Drain<Serving, W> {
        self.gate.reopen();
        Drain {
            gate: self.gate,
            stage: Serving(()),
        }
    }
}

impl<W: AtomicWord> Drain<Stopped, W> {
    /// The number of requests in flight when the bound passed.
    pub const fn cut(&self) -> u64 {
        self.stage.cut
    }

    /// Admits new requests again, for example after a restart of the target.
    pub fn reopen(self) -> Drain<Serving, W> {
        self.gate.reopen();
        Drain {
            gate: self.gate,
            stage: Serving(()),
        }
    }
}

impl<S, W: AtomicWord> Drain<S, W> {
    /// The gate through which each request enters.
    pub const fn gate(&self) -> &Gate<W> {
        &self.gate
    }
}
