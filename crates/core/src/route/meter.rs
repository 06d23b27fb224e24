//! What a node knows of one endpoint.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use super::pace::Pace;
use super::percent;
use crate::LoadReport;
use crate::RouteSettings;
use crate::Tick;
use crate::eject::Health;

/// The share of its slots that a cold endpoint starts with: targets that have just
/// started take about twice as long. With a smaller one the replaced targets of a
/// service stand half idle.
const COLD_SHARE: f32 = 0.5;

/// The pace from which on an endpoint counts as fuller than it says. Targets of
/// one service differ by a factor of up to 2.3 as a rule; one that takes longer
/// than that is disturbed.
const SLOW_PACE: f32 = 2.5;

/// The load, standing and health of one endpoint.
///
/// The parts are independent atomics. A thread may read a report with the time
/// of another; both are hints of the same last moments.
#[derive(Debug, Default)]
pub(super) struct Meter {
    own: AtomicU32,
    report: AtomicU64,
    reported_at: AtomicU64,
    closed: AtomicBool,
    closed_until: AtomicU64,
    cold_since: AtomicU64,
    cold_until: AtomicU64,
    pub(super) health: Health,
    pub(super) pace: Pace,
}

impl Meter {
    /// Whether it takes new work, as far as is known.
    pub(super) fn is_open(&self, now: Tick) -> bool {
        !self.closed.load(Ordering::Relaxed)
            && now.as_micros() >= self.closed_until.load(Ordering::Relaxed)
    }

    /// Whether it takes new work and isn't ejected.
    pub(super) fn is_usable(&self, now: Tick) -> bool {
        self.is_open(now) && !self.health.is_ejected(now)
    }

    pub(super) fn close(&self) {
        self.closed.store(true, Ordering::Relaxed);
    }

    /// Opens it; what was closed before is a new process, which starts cold.
    pub(super) fn open(&self, now: Tick) {
        if self.closed.swap(false, Ordering::Relaxed) {
            self.closed_until.store(0, Ordering::Relaxed);
            self.renew(now);
        }
    }

    /// Forgets what was known, as for a new process; what this node has under
    /// way there counts on until it ends.
    pub(super) fn renew(&self, now: Tick) {
        self.health.reset();
        self.pace.reset();
        self.report.store(0, Ordering::Relaxed);
        self.reported_at.store(0, Ordering::Relaxed);
        self.start_cold(now);
    }

    pub(super) fn start_cold(&self, now: Tick) {
        self.cold_since.store(now.as_micros(), Ordering::Relaxed);
    }

    /// Takes over until when the target is cold.
    pub(super) fn set_cold(&self, until: Tick) {
        self.cold_until.store(until.as_micros(), Ordering::Relaxed);
    }

    /// Whether the target is cold, as far as is known.
    pub(super) fn is_cold(&self, now: Tick) -> bool {
        now.as_micros() < self.cold_until.load(Ordering::Relaxed)
    }

    /// Leaves it out until `until`, unless something newer is heard.
    pub(super) fn pause(&self, until: Tick) {
        self.closed_until
            .fetch_max(until.as_micros(), Ordering::Relaxed);
    }

    /// Until when it is left out.
    pub(super) fn paused_until(&self) -> Option<Tick> {
        let closed = self.closed.load(Ordering::Relaxed);
        (!closed).then(|| Tick::from_micros(self.closed_until.load(Ordering::Relaxed)))
    }

    pub(super) fn enter(&self) {
        self.own.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn exit(&self) {
        self.own.fetch_sub(1, Ordering::Relaxed);
    }

    pub(super) fn own(&self) -> u32 {
        self.own.load(Ordering::Relaxed)
    }

    /// Takes over a report from an answer, whose request no longer counts.
    pub(super) fn report(&self, now: Tick, load: LoadReport) {
        let own = u64::from(self.own().min(u32::from(u16::MAX)));
        let fields = [load.in_flight, load.slots, load.queued].map(u64::from);
        let packed = fields[0] | (fields[1] << 16) | (fields[2] << 32) | (own << 48);
        self.report.store(packed, Ordering::Relaxed);
        self.reported_at.store(now.as_micros(), Ordering::Relaxed);
    }

    /// The load over slots if one more request were sent there.
    ///
    /// Others' requests come from the last report and fade with its age; own
    /// ones are counted as they are, so that a burst from this node spreads
    /// before any answer has come back.
    pub(super) fn load(&self, now: Tick, slots: u32, cfg: &RouteSettings) -> f32 {
        let packed = self.report.load(Ordering::Relaxed);
        let field = |shift: u32| ((packed >> shift) & 0xffff) as f32;
        let at = Tick::from_micros(self.reported_at.load(Ordering::Relaxed));
        let age = now.since(at).as_secs_f32() / cfg.reading_ttl.as_secs_f32();
        let fresh = (1.0 - age).max(0.0);
        let others = (field(0) + field(32) - field(48)).max(0.0);
        let slots = if fresh > 0.0 && field(16) > 0.0 {
            field(16)
        } else {
            slots as f32
        };
        let wanted = self.own() as f32 + others * fresh + 1.0;
        let pace = self.pace.factor();
        let slow = if pace > SLOW_PACE { pace } else { 1.0 };
        wanted * slow / (slots.max(1.0) * self.warmth(now, cfg))
    }

    /// The load as it is compared with that of another endpoint: of two that
    /// are as full, or both idle, the faster one answers earlier and is free again
    /// earlier.
    pub(super) fn cost(&self, now: Tick, slots: u32, cfg: &RouteSettings) -> f32 {
        let load = self.load(now, slots, cfg).max(percent(cfg.idle_percent));
        load * self.pace.factor().min(SLOW_PACE)
    }

    /// The share of its slots that it gets: it grows after a cold start and
    /// after an ejection.
    fn warmth(&self, now: Tick, cfg: &RouteSettings) -> f32 {
        let cold = self.cold_since.load(Ordering::Relaxed);
        let back = self.health.back_at().map_or(0, Tick::as_micros);
        let since = cold.max(back);
        if since == 0 {
            return 1.0;
        }
        let warm = now.since(Tick::from_micros(since)).as_secs_f32();
        (warm / cfg.slow_start.as_secs_f32()).clamp(COLD_SHARE, 1.0)
    }
}
