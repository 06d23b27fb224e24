//! The load, availability and health of one endpoint, as this node knows them.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::percent_to_share;
use super::relative_latency::RelativeLatency;
use crate::LinkReport;
use crate::LoadReport;
use crate::RequestRate;
use crate::RouteSettings;
use crate::Tick;
use crate::eject::Health;

/// The share of its slots that an endpoint gets at the beginning of its slow start. Targets
/// that have just started take about twice as long. With a smaller share the replaced
/// targets of a service are half idle.
const SLOW_START_MIN_SHARE: f32 = 0.5;

/// The relative latency above which an endpoint counts as fuller than it reports. Targets of
/// one service usually differ by a factor of up to 2.3; one that takes longer than that is
/// impaired.
const SLOW_LATENCY_RATIO: f32 = 2.5;

/// The load, availability and health of one endpoint.
///
/// The fields are independent atomics. A thread may read a report with the time of another
/// one. That is harmless, since both are recent hints.
#[derive(Debug, Default)]
pub(super) struct Meter {
    own_in_flight: AtomicU32,
    packed_report: AtomicU64,
    reported_at: AtomicU64,
    /// This node's requests for large answers that haven't ended.
    own_large: AtomicU32,
    /// The delay and the answer time of the last link report, in microseconds of 32 bits each.
    packed_link: AtomicU64,
    link_reported_at: AtomicU64,
    closed: AtomicBool,
    /// The target stated that it leaves.
    leaving: AtomicBool,
    paused_until: AtomicU64,
    slow_start_since: AtomicU64,
    cold_until: AtomicU64,
    /// The rate limit that the target states, in thousandths of a request a second, plus one;
    /// zero without a limit.
    packed_rate_limit: AtomicU64,
    pub(super) health: Health,
    pub(super) relative_latency: RelativeLatency,
}

impl Meter {
    /// Whether the endpoint accepts new requests, as far as is known.
    pub(super) fn is_open(&self, now: Tick) -> bool {
        !self.closed.load(Ordering::Relaxed)
            && !self.is_leaving()
            && now.as_micros() >= self.paused_until.load(Ordering::Relaxed)
    }

    /// Whether the endpoint accepts new requests and isn't ejected.
    pub(super) fn is_usable(&self, now: Tick) -> bool {
        self.is_open(now) && !self.health.is_ejected(now)
    }

    pub(super) fn close(&self) {
        self.closed.store(true, Ordering::Relaxed);
    }

    /// Opens the endpoint; returns whether it was closed. One that was closed before is a new
    /// process, which starts cold.
    pub(super) fn open(&self, now: Tick) -> bool {
        let was_closed = self.closed.swap(false, Ordering::Relaxed);
        if was_closed {
            self.paused_until.store(0, Ordering::Relaxed);
            self.reset(now);
        }
        was_closed
    }

    /// Resets the meter for a new process. Requests that this node has in flight there count
    /// until they end.
    pub(super) fn reset(&self, now: Tick) {
        self.health.reset();
        self.relative_latency.reset();
        self.packed_report.store(0, Ordering::Relaxed);
        self.reported_at.store(0, Ordering::Relaxed);
        self.packed_link.store(0, Ordering::Relaxed);
        self.link_reported_at.store(0, Ordering::Relaxed);
        self.begin_slow_start(now);
    }

    pub(super) fn begin_slow_start(&self, now: Tick) {
        self.slow_start_since
            .store(now.as_micros(), Ordering::Relaxed);
    }

    /// Sets until when the target is cold.
    pub(super) fn set_cold_until(&self, until: Tick) {
        self.cold_until.store(until.as_micros(), Ordering::Relaxed);
    }

    /// Whether the target is cold, as far as is known.
    pub(super) fn is_cold(&self, now: Tick) -> bool {
        now.as_micros() < self.cold_until.load(Ordering::Relaxed)
    }

    /// Forgets what the previous process of the target stated.
    pub(super) fn reset_statements(&self) {
        self.set_rate_limit(None);
        self.set_leaving(false);
    }

    /// Sets whether the target stated that it leaves.
    pub(super) fn set_leaving(&self, leaving: bool) {
        self.leaving.store(leaving, Ordering::Relaxed);
    }

    /// Whether the target stated that it leaves.
    pub(super) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Sets the rate limit that the target states for all nodes together.
    pub(super) fn set_rate_limit(&self, limit: Option<RequestRate>) {
        let packed = limit.map_or(0, |limit| u64::from(limit.milli_per_s()) + 1);
        self.packed_rate_limit.store(packed, Ordering::Relaxed);
    }

    /// The rate limit that the target stated last, if it does.
    pub(super) fn rate_limit(&self) -> Option<RequestRate> {
        let packed = self.packed_rate_limit.load(Ordering::Relaxed);
        let milli_per_s = u32::try_from(packed.checked_sub(1)?).unwrap_or(u32::MAX);
        Some(RequestRate::from_milli_per_s(milli_per_s))
    }

    /// Excludes the endpoint until `until`, or until its own node reports a newer state.
    pub(super) fn pause(&self, until: Tick) {
        self.paused_until
            .fetch_max(until.as_micros(), Ordering::Relaxed);
    }

    /// Until when the endpoint is excluded, unless it is closed or its target leaves.
    pub(super) fn paused_until(&self) -> Option<Tick> {
        let closed = self.closed.load(Ordering::Relaxed) || self.is_leaving();
        (!closed).then(|| Tick::from_micros(self.paused_until.load(Ordering::Relaxed)))
    }

    pub(super) fn begin_request(&self) {
        self.own_in_flight.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn end_request(&self) {
        self.own_in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    pub(super) fn own_in_flight(&self) -> u32 {
        self.own_in_flight.load(Ordering::Relaxed)
    }

    /// Stores the load report of an answer. The report no longer counts the answered request.
    pub(super) fn record_load(&self, now: Tick, load: LoadReport) {
        let own = u64::from(self.own_in_flight().min(u32::from(u16::MAX)));
        let fields = [load.in_flight, load.slots, load.queued].map(u64::from);
        let packed = fields[0] | (fields[1] << 16) | (fields[2] << 32) | (own << 48);
        self.packed_report.store(packed, Ordering::Relaxed);
        self.reported_at.store(now.as_micros(), Ordering::Relaxed);
    }

    pub(super) fn begin_large(&self) {
        self.own_large.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn end_large(&self) {
        self.own_large.fetch_sub(1, Ordering::Relaxed);
    }

    /// Stores the link report of an answer.
    pub(super) fn record_link(&self, now: Tick, link: LinkReport) {
        let [delay, answer] = [link.delay, link.answer].map(|time| {
            let us = u32::try_from(time.as_micros()).unwrap_or(u32::MAX);
            u64::from(us)
        });
        self.packed_link
            .store(delay | (answer << 32), Ordering::Relaxed);
        self.link_reported_at
            .store(now.as_micros(), Ordering::Relaxed);
    }

    /// Whether the endpoint has reported the delay of its link recently.
    pub(super) fn has_link_report(&self, now: Tick, cfg: &RouteSettings) -> bool {
        let at = self.link_reported_at.load(Ordering::Relaxed);
        at > 0 && now.since(Tick::from_micros(at)) < cfg.load_report_ttl
    }

    /// How long the link takes for what was reported and this node's own large answers if one
    /// more request for one were sent there; zero without a report.
    ///
    /// The link sends what was reported in the meantime, so that a report decays by its age.
    /// The node's own requests are counted exactly, so that a burst from this node is spread
    /// before any answer has returned.
    pub(super) fn link_delay(&self, now: Tick) -> Duration {
        let packed = self.packed_link.load(Ordering::Relaxed);
        let [delay, answer] = [packed & 0xffff_ffff, packed >> 32].map(Duration::from_micros);
        let at = Tick::from_micros(self.link_reported_at.load(Ordering::Relaxed));
        let own = self.own_large.load(Ordering::Relaxed).saturating_add(1);
        delay.saturating_sub(now.since(at)) + answer * own
    }

    /// The load divided by slots if one more request were sent there.
    ///
    /// Requests of other nodes are taken from the last report and fade with its age. The
    /// node's own requests are counted exactly, so that a burst from this node is spread
    /// before any answer has returned.
    pub(super) fn load(&self, now: Tick, slots: u32, cfg: &RouteSettings) -> f32 {
        let packed = self.packed_report.load(Ordering::Relaxed);
        let field = |shift: u32| ((packed >> shift) & 0xffff) as f32;
        let at = Tick::from_micros(self.reported_at.load(Ordering::Relaxed));
        let age = now.since(at).as_secs_f32() / cfg.load_report_ttl.as_secs_f32();
        let fresh = (1.0 - age).max(0.0);
        let others = (field(0) + field(32) - field(48)).max(0.0);
        let slots = if fresh > 0.0 && field(16) > 0.0 {
            field(16)
        } else {
            slots as f32
        };
        let in_flight = self.own_in_flight() as f32 + others * fresh + 1.0;
        let latency_ratio = self.relative_latency.ratio();
        let slow = if latency_ratio > SLOW_LATENCY_RATIO {
            latency_ratio
        } else {
            1.0
        };
        in_flight * slow / (slots.max(1.0) * self.slow_start_share(now, cfg))
    }

    /// The cost by which endpoints are compared: the load, weighted by the relative latency.
    /// Of two that are equally full, or both idle, the faster one answers earlier and is free
    /// again earlier.
    pub(super) fn cost(&self, now: Tick, slots: u32, cfg: &RouteSettings) -> f32 {
        let load = self
            .load(now, slots, cfg)
            .max(percent_to_share(cfg.idle_percent));
        load * self.relative_latency.ratio().min(SLOW_LATENCY_RATIO)
    }

    /// The share of its slots that the endpoint gets; it grows during the slow start after a
    /// process start or an ejection.
    fn slow_start_share(&self, now: Tick, cfg: &RouteSettings) -> f32 {
        let started = self.slow_start_since.load(Ordering::Relaxed);
        let readmitted = self.health.ejection_ends_at().map_or(0, Tick::as_micros);
        let since = started.max(readmitted);
        if since == 0 {
            return 1.0;
        }
        let warm = now.since(Tick::from_micros(since)).as_secs_f32();
        (warm / cfg.slow_start.as_secs_f32()).clamp(SLOW_START_MIN_SHARE, 1.0)
    }
}
