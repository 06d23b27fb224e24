//! The state of a node whose versions are stale.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;

use crate::Tick;
use crate::reader::StalenessBounds;

/// Reads a second that stale nodes start in the whole fleet while their peers answer. The
/// first one that succeeds brings all others up to date.
const FLEET_READS_PER_S: u32 = 16;

/// Bounds the doublings of the time over which the fleet's reads are spread, while the
/// platform answers none of them.
const MAX_DOUBLINGS: u32 = 4;

/// Part of the staleness after which a node asks the next peer, so that a fleet whose
/// platform is down asks less and less often.
const ASK_INTERVAL_PART: u32 = 8;

/// Number of asks in a row without an answer after which peers count as silent.
const RECENT_ASKS: u32 = 2;

/// What a node does until its versions are proved to be the newest again: it asks peers, and
/// then reads the platform.
///
/// The node of an instance that is cut off from all peers reads at once. If peers answer that
/// their versions are stale as well, the whole fleet lacks news, and its reads are spread at
/// random, so that an overloaded platform isn't read by all nodes together.
#[derive(Debug, Default)]
pub(super) struct CatchUp {
    /// When the node first asked a peer; `None` while its versions aren't stale.
    asked_at: Option<Tick>,
    next_ask: Tick,
    /// Time until the next peer is asked.
    ask_interval: Duration,
    /// When a peer answered last.
    answered_at: Option<Tick>,
    /// The random wait before the next read while peers answer, drawn when first needed.
    wait: Option<Duration>,
    is_reading: bool,
    failed_reads: u32,
    /// When the last read failed.
    failed_at: Option<Tick>,
    /// Heartbeats that are received before this may have waited while the process didn't run.
    heartbeats_from: Tick,
}

impl CatchUp {
    /// Ends it, since the versions are proved to be the newest.
    pub(super) fn reset(&mut self) {
        *self = CatchUp {
            heartbeats_from: self.heartbeats_from,
            ..CatchUp::default()
        };
    }

    /// When the next peer is to be asked, if any was.
    pub(super) fn next_ask(&self) -> Option<Tick> {
        self.asked_at.map(|_| self.next_ask)
    }

    /// Whether a peer is to be asked now.
    pub(super) fn is_ask_due(&self, now: Tick) -> bool {
        self.asked_at.is_none() || self.next_ask <= now
    }

    /// Records that a peer was asked when the versions were `staleness` old. The next one is
    /// asked after `max_interval` at the latest.
    pub(super) fn record_asked(
        &mut self,
        now: Tick,
        bounds: StalenessBounds,
        staleness: Duration,
        max_interval: Duration,
        rng: &mut SmallRng,
    ) {
        self.asked_at.get_or_insert(now);
        let interval = staleness / ASK_INTERVAL_PART;
        let interval = interval.max(bounds.answer_time() / 2).min(max_interval);
        self.ask_interval = interval;
        self.next_ask = now + interval.mul_f64(rng.random_range(0.75..1.25));
    }

    /// Records that a peer answered.
    pub(super) fn record_answer(&mut self, now: Tick) {
        self.answered_at = self.asked_at.map(|_| now);
    }

    /// Whether peers answer, so that the reads of the fleet are spread.
    pub(super) fn do_peers_answer(&self, now: Tick) -> bool {
        let recent = self.ask_interval * RECENT_ASKS;
        self.answered_at.is_some_and(|at| now.since(at) <= recent)
    }

    /// Draws the wait of this node, which is one of `fleet`, if it needs one.
    pub(super) fn draw_wait(&mut self, fleet: u32, rng: &mut SmallRng) {
        if self.wait.is_none() {
            let doublings = self.failed_reads.min(MAX_DOUBLINGS);
            let spread = Duration::from_secs(1) * fleet / FLEET_READS_PER_S * (1 << doublings);
            self.wait = Some(spread.mul_f64(rng.random::<f64>()));
        }
    }

    /// When the node reads the platform; `None` if it has asked no peer yet.
    pub(super) fn read_due(&self, now: Tick, bounds: StalenessBounds) -> Option<Tick> {
        let first = self.asked_at? + bounds.answer_time();
        let wait = self.wait.filter(|_| self.do_peers_answer(now));
        let wait = wait.unwrap_or(Duration::ZERO);
        Some(self.failed_at.map_or(first, |at| at.max(first)) + wait)
    }

    /// Records that the node reads. Returns whether this is its first read since its versions
    /// became stale.
    pub(super) fn begin_reading(&mut self) -> bool {
        !std::mem::replace(&mut self.is_reading, true)
    }

    /// Records that a read had no answer with knowledge.
    pub(super) fn record_failed_read(&mut self, now: Tick) {
        self.failed_reads = self.failed_reads.saturating_add(1);
        self.failed_at = Some(now);
        self.wait = None;
    }

    /// Whether a heartbeat that is received now proves anything.
    pub(super) fn trusts_heartbeats(&self, now: Tick) -> bool {
        now >= self.heartbeats_from
    }

    /// Ignores heartbeats until then: the process was stalled, and those in its buffers are
    /// older than they state.
    pub(super) fn ignore_heartbeats_until(&mut self, until: Tick) {
        self.heartbeats_from = until;
    }
}
