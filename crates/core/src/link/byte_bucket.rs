//! The bytes that large answers may send at present.

use std::time::Duration;

use super::rate::LinkRate;
use crate::Tick;

/// For how long unused rate accumulates. As much may queue in the network at once, and small
/// messages wait behind it.
const BURST: Duration = Duration::from_millis(10);

/// The percentage of the rate that other traffic may take from large answers. Without a bound
/// they would starve behind a steady stream of small messages.
pub(super) const MAX_OTHER_PERCENT: u64 = 75;

/// For how long the bytes of other traffic are kept that exceed its percentage.
const MAX_OTHER_BACKLOG: Duration = Duration::from_millis(100);

/// The interval over which the rate of other traffic is measured.
const OTHER_RATE_INTERVAL: Duration = Duration::from_millis(500);

/// Units in a byte: one byte a second yields one unit in a microsecond.
const UNITS_PER_BYTE: i64 = 1_000_000;

/// A token bucket in bytes. Other traffic isn't delayed by it, but is taken from its rate.
///
/// # Invariants
///
/// Within any time, the bytes that were taken exceed the rate by [`BURST`] and one grant at
/// most.
#[derive(Debug)]
pub(super) struct ByteBucket {
    rate: LinkRate,
    /// Negative after a grant that was larger than what was available.
    units: i64,
    /// Units of other traffic that aren't taken from the rate yet.
    other_units: i64,
    refilled_at: Tick,
    other_bytes: u64,
    other_since: Tick,
    other_per_s: u64,
}

impl ByteBucket {
    pub(super) fn new(rate: LinkRate) -> ByteBucket {
        ByteBucket {
            rate,
            units: units_in(rate, BURST),
            other_units: 0,
            refilled_at: Tick::ZERO,
            other_bytes: 0,
            other_since: Tick::ZERO,
            other_per_s: 0,
        }
    }

    /// Records bytes of other traffic.
    pub(super) fn record_other(&mut self, bytes: u64) {
        let units = i64::try_from(bytes).unwrap_or(i64::MAX);
        let units = units.saturating_mul(UNITS_PER_BYTE);
        let backlog = units_in(self.rate, MAX_OTHER_BACKLOG);
        self.other_units = self.other_units.saturating_add(units).min(backlog);
        self.other_bytes = self.other_bytes.saturating_add(bytes);
    }

    /// Adds the rate since the last call.
    pub(super) fn refill(&mut self, now: Tick) {
        let gained = units_in(self.rate, now.since(self.refilled_at));
        self.refilled_at = self.refilled_at.max(now);
        let max_other = gained / 100 * MAX_OTHER_PERCENT as i64;
        let other = self.other_units.min(max_other);
        self.other_units -= other;
        let burst = units_in(self.rate, BURST);
        self.units = self.units.saturating_add(gained - other).min(burst);
        self.measure_other(now);
    }

    fn measure_other(&mut self, now: Tick) {
        let span = now.since(self.other_since);
        if span < OTHER_RATE_INTERVAL {
            return;
        }
        let per_s = self.other_bytes as f64 / span.as_secs_f64();
        self.other_per_s = (self.other_per_s + per_s as u64) / 2;
        self.other_bytes = 0;
        self.other_since = now;
    }

    /// The rate that other traffic leaves to large answers.
    pub(super) fn large_rate(&self) -> LinkRate {
        self.rate.less(self.other_per_s, MAX_OTHER_PERCENT)
    }

    /// Whether a grant may be taken.
    pub(super) const fn is_open(&self) -> bool {
        self.units > 0
    }

    /// Takes a grant.
    pub(super) fn take(&mut self, bytes: usize) {
        self.units -= units_of(bytes);
    }

    /// Returns the unused part of a grant. Like unused rate, it accumulates up to [`BURST`]:
    /// many grants that end unused at once would otherwise be sent again at once.
    pub(super) fn give_back(&mut self, bytes: usize) {
        let burst = units_in(self.rate, BURST);
        self.units = (self.units + units_of(bytes)).min(burst);
    }

    /// The latest time that the bucket knows of.
    pub(super) const fn refilled_at(&self) -> Tick {
        self.refilled_at
    }

    /// How long it takes at least until [`ByteBucket::is_open`].
    pub(super) fn time_until_open(&self) -> Duration {
        let missing = u64::try_from(1 - self.units).unwrap_or(0);
        Duration::from_micros(missing.div_ceil(self.rate.bytes_per_s()))
    }
}

fn units_of(bytes: usize) -> i64 {
    i64::try_from(bytes).unwrap_or(i64::MAX / UNITS_PER_BYTE) * UNITS_PER_BYTE
}

/// The units that a rate yields in some time.
fn units_in(rate: LinkRate, time: Duration) -> i64 {
    let micros = i64::try_from(time.as_micros()).unwrap_or(i64::MAX);
    let rate = i64::try_from(rate.bytes_per_s()).unwrap_or(i64::MAX);
    rate.saturating_mul(micros)
}
