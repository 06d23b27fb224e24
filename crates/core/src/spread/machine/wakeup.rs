//! Work that is due by time.

use std::time::Duration;

use super::SpreadMachine;
use crate::Action;
use crate::AuditEvent;
use crate::Stream;
use crate::Tick;
use crate::spread::calls::Address;

/// Maximum number of peers with which a process compares at once after a pause.
const PEERS_SYNCED_AFTER_PAUSE: usize = 3;

/// Minimum delay until the next wakeup, so that the caller can't busy-loop.
const MIN_WAKEUP_DELAY: Duration = Duration::from_millis(1);

impl SpreadMachine {
    /// When [`Event::Wakeup`](crate::Event::Wakeup) is due next.
    pub fn next_wakeup(&self) -> Tick {
        let now = self.last_event_at;
        let reads = Stream::ALL.map(|stream| self.read_due(now, stream));
        let mut next = self.gossip.next_sync;
        let others = [
            self.calls.next_deadline(),
            self.gossip.announce_due(),
            self.pending_answers.next_due(),
            self.join_deadline(),
            self.takeover_due(now),
            self.catch_up_due(now),
            self.heartbeat_due(),
            self.store.epochs.settle_due(),
        ];
        for due in reads.into_iter().chain(others).flatten() {
            next = next.min(due);
        }
        next.max(now + MIN_WAKEUP_DELAY)
    }

    /// When this node takes over as a reader.
    fn takeover_due(&self, now: Tick) -> Option<Tick> {
        if self.role.is_reader() || self.role.placement().is_none() {
            return None;
        }
        let left = self
            .role
            .takeover_age()
            .saturating_sub(self.contact_age(now));
        Some(now + left)
    }

    pub(super) fn run_due_work(&mut self, now: Tick, out: &mut Vec<Action>) {
        while let Some(overdue) = self.calls.take_expired(now) {
            self.handle_call_failure(now, &overdue, out);
        }
        self.store.epochs.settle_if_due(now);
        self.join_if_due(now, out);
        self.report_due_answers(now, out);
        self.sync_if_due(now, out);
        self.catch_up_if_stale(now, out);
        self.announce_if_due(now, out);
        self.send_heartbeat_if_due(now, out);
        self.start_due_reads(now, out);
        self.last_event_at = self.last_event_at.max(now);
    }

    /// Detects that the process was paused.
    ///
    /// A process that resumes continues where it stopped: it would announce
    /// changes that were new before the pause, wait for replies that were lost
    /// meanwhile, and take an old answer of the platform for the newest.
    /// Wakeups are never further apart than an interval, so that a long gap can
    /// only be a pause. All calls in flight are abandoned, and comparisons with
    /// peers start at once. Nothing is announced until one of them has answered
    /// or timed out, because the messages in the buffers are old as well. The
    /// held versions stay in force, and only newer ones can replace them.
    pub(super) fn detect_pause(&mut self, now: Tick, out: &mut Vec<Action>) {
        let pause = now.since(self.last_event_at);
        if pause >= self.cfg.staleness_bound {
            let until = now + self.bounds.answer_time();
            self.catch_up.ignore_heartbeats_until(until);
        }
        if pause < self.cfg.pause_bound {
            return;
        }
        self.last_event_at = now;
        out.push(Action::Audit(AuditEvent::Paused { pause }));
        self.calls.clear();
        self.gossip.discard_pending();
        self.gossip.quiet_until = Some(now + self.cfg.call_timeout);
        self.gossip.synced_since_pause = false;
        for stream in Stream::ALL {
            self.pulls[stream as usize].clear_candidates();
            self.reads[stream as usize].mark_outdated(now);
        }
        let mut picked_peers: Vec<Address> = Vec::new();
        for _ in 0..PEERS_SYNCED_AFTER_PAUSE {
            let is_eligible = |peer: &Address| !picked_peers.contains(peer);
            let cross_percent = self.cfg.cross_domain_percent;
            let picked = self
                .peers
                .pick_random(now, cross_percent, &mut self.rng, is_eligible);
            picked_peers.extend(picked);
        }
        for peer in &picked_peers {
            self.send_sync(now, peer, out);
        }
    }
}
