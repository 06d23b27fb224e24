//! Rate limit for reads of the platform, without coordination between nodes.
//!
//! Half of the fleet's share of reads belongs to the chosen readers, whose small
//! number follows from the list; the other half belongs to all other nodes. A
//! chosen reader has a token bucket. Every other node may read once per period, at
//! an offset drawn when the node starts. A token bucket doesn't work for the other
//! nodes: after an outage all buckets would be full, and if each node saw no other
//! node, the whole fleet would read at the same moment. Without accumulation, the
//! fleet's reads per second are its size divided by the period, whatever each node
//! assumes about the others.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;

use super::Placement;
use crate::SpreadConfig;
use crate::Tick;

/// Token bucket size of a chosen reader, in reads: a watch of each of the two
/// streams, and a change of each.
const MAX_BURST_READS: f64 = 4.0;

/// Fraction of their half of the share that all other nodes use on average. Their
/// read times are random, so some seconds contain more reads than others.
const TARGET_UTILISATION: f64 = 0.8;

/// Determines when this node may read the platform.
#[derive(Debug)]
pub(crate) struct ReadBudget {
    /// Reads per second of each half of the share.
    half_share_per_s: f64,
    assumed_fleet: u32,
    chosen: bool,
    tokens_per_s: f64,
    max_tokens: f64,
    tokens: f64,
    refilled_at: Tick,
    /// Offset of this node's read time, as a fraction of the period.
    phase: f64,
    period: Duration,
    /// The time of the reserved read, if one is reserved.
    reserved: Option<Tick>,
    /// Earliest time of the next reservation, so that a used read time isn't used again.
    free_from: Tick,
}

impl ReadBudget {
    pub(crate) fn new(cfg: &SpreadConfig, rng: &mut SmallRng, now: Tick) -> ReadBudget {
        let share = f64::from(cfg.reads_per_s) * f64::from(cfg.share_percent) / 100.0;
        let half = share / 2.0;
        ReadBudget {
            half_share_per_s: half,
            assumed_fleet: cfg.assumed_fleet,
            chosen: false,
            tokens_per_s: 0.0,
            max_tokens: MAX_BURST_READS,
            tokens: 1.0,
            refilled_at: now,
            phase: rng.random::<f64>(),
            period: period(cfg.assumed_fleet, half),
            reserved: None,
            free_from: now,
        }
    }

    /// Applies this node's placement in a new list. An unlisted node can't determine
    /// how many other nodes are unlisted too, so it still assumes a large fleet.
    pub(crate) fn set_placement(&mut self, now: Tick, placement: &Placement, readers: u32) {
        self.refill(now);
        self.chosen = placement.rank.is_some_and(|rank| rank < readers);
        let part =
            self.half_share_per_s / f64::from(placement.domain_count.saturating_mul(readers));
        // Within any second a bucket allows its stored tokens plus the refill of that second.
        self.max_tokens = (part / 2.0).clamp(1.0, MAX_BURST_READS);
        self.tokens_per_s = (part - self.max_tokens).max(part / 2.0);
        let fleet = match placement.rank {
            Some(_) => placement.fleet_size,
            None => placement.fleet_size.max(self.assumed_fleet),
        };
        let new_period = period(fleet, self.half_share_per_s);
        if new_period != self.period {
            self.period = new_period;
            self.reserved = None;
        }
    }

    /// Reserves a read and returns the time at which it is allowed.
    ///
    /// A read time that lies before the request isn't assigned: many nodes request
    /// a read at the same moment, and for about half of them the read time of the
    /// current period has already passed. A reservation stays valid after its time,
    /// so a late wakeup doesn't lose it.
    pub(crate) fn reserve(&mut self, now: Tick) -> Tick {
        if self.chosen {
            let missing = (1.0 - self.tokens_at(now)).max(0.0);
            return now + Duration::from_secs_f64(missing / self.tokens_per_s);
        }
        let from = now.max(self.free_from);
        let next = self.next_read_time(from);
        *self.reserved.get_or_insert(next)
    }

    /// The time of the reserved read, if one is reserved.
    pub(crate) fn reserved_at(&self) -> Option<Tick> {
        self.reserved
    }

    /// Cancels the reservation. Kept reservations would let all nodes read at once
    /// when an event affects all of them.
    pub(crate) fn cancel_reservation(&mut self) {
        self.reserved = None;
    }

    /// Consumes the read that is allowed now.
    pub(crate) fn consume(&mut self, now: Tick) {
        self.refill(now);
        if self.chosen {
            self.tokens -= 1.0;
        }
        if let Some(read_time) = self.reserved.take() {
            self.free_from = read_time + self.period.mul_f64(0.5);
        }
    }

    fn refill(&mut self, now: Tick) {
        self.tokens = self.tokens_at(now);
        self.refilled_at = now;
    }

    fn tokens_at(&self, now: Tick) -> f64 {
        let added = now.since(self.refilled_at).as_secs_f64() * self.tokens_per_s;
        (self.tokens + added).min(self.max_tokens)
    }

    /// This node's first read time at or after `from`.
    fn next_read_time(&self, from: Tick) -> Tick {
        let length = period_us(self.period);
        let offset = self.period.mul_f64(self.phase);
        let n = from.as_micros() / length;
        let read_time = Tick::from_micros(n.saturating_mul(length)) + offset;
        match read_time < from {
            true => read_time + Duration::from_micros(length),
            false => read_time,
        }
    }
}

/// The period in which each of `fleet` nodes may read once.
fn period(fleet: u32, reads_per_s: f64) -> Duration {
    Duration::from_secs_f64(f64::from(fleet.max(1)) / (reads_per_s * TARGET_UTILISATION))
}

fn period_us(period: Duration) -> u64 {
    u64::try_from(period.as_micros()).unwrap_or(u64::MAX).max(1)
}
