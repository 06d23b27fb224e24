//! The stages of a planned stop, as types.

use std::sync::atomic::AtomicU64;
use std::time::Duration;

use crate::Gate;
use crate::Tick;
use crate::Word;

/// New work is taken.
#[derive(Debug)]
pub struct Serving(());

/// New work is refused as not run; what runs goes on until the bound.
#[derive(Debug)]
pub struct Draining {
    until: Tick,
}

/// Nothing runs any more, or the bound has passed.
#[derive(Debug)]
pub struct Stopped {
    cut: u64,
}

/// A planned stop of whatever a gate guards.
#[derive(Debug)]
pub struct Drain<S, W: Word = AtomicU64> {
    gate: Gate<W>,
    stage: S,
}

/// How far a drain has come.
#[derive(Debug)]
pub enum Progress<W: Word = AtomicU64> {
    /// Requests are in flight and the bound hasn't passed.
    Waiting(Drain<Draining, W>),
    /// It is over.
    Over(Drain<Stopped, W>),
}

impl<W: Word> Drain<Serving, W> {
    /// Begins to serve through a new, open gate.
    pub fn serving() -> Drain<Serving, W> {
        Drain {
            gate: Gate::open(),
            stage: Serving(()),
        }
    }

    /// Closes the gate; what is in flight has `bound` to finish.
    pub fn begin(self, now: Tick, bound: Duration) -> Drain<Draining, W> {
        self.gate.close();
        let until = now + bound;
        Drain {
            gate: self.gate,
            stage: Draining { until },
        }
    }
}

impl<W: Word> Drain<Draining, W> {
    /// A further planned stop while this one goes on: it never shortens the
    /// bound, so that it cuts nothing that the first would have let finish.
    pub fn begin_again(mut self, now: Tick, bound: Duration) -> Drain<Draining, W> {
        self.stage.until = self.stage.until.max(now + bound);
        self
    }

    /// When the bound passes.
    pub const fn until(&self) -> Tick {
        self.stage.until
    }

    /// Looks whether it is over: nothing in flight, or the bound has passed.
    pub fn poll(self, now: Tick) -> Progress<W> {
        let in_flight = self.gate.in_flight();
        if in_flight > 0 && now < self.stage.until {
            return Progress::Waiting(self);
        }
        // INVARIANT: The gate is closed, so that the count can't grow again.
        Progress::Over(Drain {
            gate: self.gate,
            stage: Stopped { cut: in_flight },
        })
    }

    /// Takes new work again, as when a target comes back after its restart.
    pub fn reopen(self) -> Drain<Serving, W> {
        self.gate.reopen();
        Drain {
            gate: self.gate,
            stage: Serving(()),
        }
    }
}

impl<W: Word> Drain<Stopped, W> {
    /// Requests that were still in flight when the bound passed.
    pub const fn cut(&self) -> u64 {
        self.stage.cut
    }

    /// Takes new work again, as when a target comes back after its restart.
    pub fn reopen(self) -> Drain<Serving, W> {
        self.gate.reopen();
        Drain {
            gate: self.gate,
            stage: Serving(()),
        }
    }
}

impl<S, W: Word> Drain<S, W> {
    /// The gate, through which each request enters.
    pub const fn gate(&self) -> &Gate<W> {
        &self.gate
    }
}
