//! The fleet's share of the platform's reads, without talking about it.
//!
//! Half of the share belongs to the chosen readers, of which the list names a
//! known few; the other half to everybody else. A chosen reader has a token
//! bucket. Everybody else may read once in each period of its own, at a moment
//! drawn at its start. A bucket won't do there: after an outage each would be
//! full, and the whole fleet, each node believing itself alone, would read in
//! one moment. Without saving up, the fleet's reads a second are its size over
//! the period, whatever its nodes believe.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;

use super::Place;
use crate::SpreadConfig;
use crate::Tick;

/// Reads that a chosen reader may save up: a watch of both streams, and a
/// change of each.
const MAX_BURST: f64 = 4.0;

/// Part of their half that all others use on average. Their moments are drawn
/// at random, so that some seconds see more of them than others.
const USED_PART: f64 = 0.8;

/// When this node may read.
#[derive(Debug)]
pub(crate) struct ReadBudget {
    /// Reads a second of each half of the share.
    half: f64,
    assumed_fleet: u32,
    chosen: bool,
    rate: f64,
    burst: f64,
    tokens: f64,
    filled: Tick,
    /// Part of the period at which this node's moment lies.
    phase: f64,
    period: Duration,
    /// The moment at which the next read is allowed, once one was asked for.
    booked: Option<Tick>,
    /// No moment before this is given: the last one is used.
    free_from: Tick,
}

impl ReadBudget {
    pub(crate) fn new(cfg: &SpreadConfig, rng: &mut SmallRng, now: Tick) -> ReadBudget {
        let share = f64::from(cfg.reads_per_s) * f64::from(cfg.share_percent) / 100.0;
        let half = share / 2.0;
        ReadBudget {
            half,
            assumed_fleet: cfg.assumed_fleet,
            chosen: false,
            rate: 0.0,
            burst: MAX_BURST,
            tokens: 1.0,
            filled: now,
            phase: rng.random::<f64>(),
            period: period(cfg.assumed_fleet, half),
            booked: None,
            free_from: now,
        }
    }

    /// Takes in a new list. A node that it doesn't name can't know how many
    /// others are missing as well, so it goes on assuming a large fleet.
    pub(crate) fn place(&mut self, now: Tick, place: &Place, readers: u32) {
        self.fill(now);
        self.chosen = place.rank.is_some_and(|rank| rank < readers);
        let part = self.half / f64::from(place.domains.saturating_mul(readers));
        // Within any second a bucket gives what it holds and what runs in.
        self.burst = (part / 2.0).clamp(1.0, MAX_BURST);
        self.rate = (part - self.burst).max(part / 2.0);
        let fleet = match place.rank {
            Some(_) => place.fleet,
            None => place.fleet.max(self.assumed_fleet),
        };
        let changed = period(fleet, self.half);
        if changed != self.period {
            self.period = changed;
            self.booked = None;
        }
    }

    /// Asks for a read and returns the moment at which it is allowed.
    ///
    /// A moment that passed before it was asked for isn't given: many nodes
    /// begin to want a read together, and for half of them it has passed. One
    /// that was booked stays good, so that a late wakeup doesn't lose it.
    pub(crate) fn book(&mut self, now: Tick) -> Tick {
        if self.chosen {
            let missing = (1.0 - self.tokens_at(now)).max(0.0);
            return now + Duration::from_secs_f64(missing / self.rate);
        }
        let from = now.max(self.free_from);
        let next = self.moment_from(from);
        *self.booked.get_or_insert(next)
    }

    /// The moment that was booked, if one was.
    pub(crate) fn booked(&self) -> Option<Tick> {
        self.booked
    }

    /// Takes back what was asked for: a moment that is kept for later would
    /// be given to all nodes at once when something happens to all of them.
    pub(crate) fn cancel(&mut self) {
        self.booked = None;
    }

    /// Uses the read that is allowed now.
    pub(crate) fn take(&mut self, now: Tick) {
        self.fill(now);
        if self.chosen {
            self.tokens -= 1.0;
        }
        if let Some(moment) = self.booked.take() {
            self.free_from = moment + self.period.mul_f64(0.5);
        }
    }

    fn fill(&mut self, now: Tick) {
        self.tokens = self.tokens_at(now);
        self.filled = now;
    }

    fn tokens_at(&self, now: Tick) -> f64 {
        let more = now.since(self.filled).as_secs_f64() * self.rate;
        (self.tokens + more).min(self.burst)
    }

    /// This node's first moment that isn't before `from`.
    fn moment_from(&self, from: Tick) -> Tick {
        let length = period_us(self.period);
        let offset = self.period.mul_f64(self.phase);
        let n = from.as_micros() / length;
        let moment = Tick::from_micros(n.saturating_mul(length)) + offset;
        match moment < from {
            true => moment + Duration::from_micros(length),
            false => moment,
        }
    }
}

/// The time in which each of `fleet` nodes may read once.
fn period(fleet: u32, reads_per_s: f64) -> Duration {
    Duration::from_secs_f64(f64::from(fleet.max(1)) / (reads_per_s * USED_PART))
}

fn period_us(period: Duration) -> u64 {
    u64::try_from(period.as_micros()).unwrap_or(u64::MAX).max(1)
}
