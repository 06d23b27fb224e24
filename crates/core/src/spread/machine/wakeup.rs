//! What time brings.

use std::time::Duration;

use super::Spread;
use crate::Action;
use crate::AuditEvent;
use crate::Stream;
use crate::Tick;
use crate::spread::calls::Address;

/// Peers that a woken process asks at once.
const ASKED_ON_WAKING: usize = 3;

/// The least time to the next wakeup, so that nothing can make the caller spin.
const LEAST_WAIT: Duration = Duration::from_millis(1);

impl Spread {
    /// When [`Event::Wakeup`](crate::Event::Wakeup) is due next.
    pub fn next_wakeup(&self) -> Tick {
        let now = self.last;
        let reads = Stream::ALL.map(|stream| self.read_due(now, stream));
        let mut next = self.gossip.next_sync;
        let others = [
            self.calls.next_deadline(),
            self.gossip.announce_due(),
            self.pending_answers.due(),
            self.join_ends(),
            self.step_in_due(now),
        ];
        for due in reads.into_iter().chain(others).flatten() {
            next = next.min(due);
        }
        next.max(now + LEAST_WAIT)
    }

    /// When this node would step in as a reader.
    fn step_in_due(&self, now: Tick) -> Option<Tick> {
        if self.role.reads() || self.role.place().is_none() {
            return None;
        }
        let left = self.role.patience().saturating_sub(self.contact_age(now));
        Some(now + left)
    }

    pub(super) fn do_what_is_due(&mut self, now: Tick, out: &mut Vec<Action>) {
        while let Some(late) = self.calls.expire(now) {
            self.call_failed(now, &late, out);
        }
        self.join_if_due(now, out);
        self.report_due_answers(now, out);
        self.sync_what_is_due(now, out);
        self.announce_what_is_due(now, out);
        self.read_what_is_due(now, out);
        self.last = self.last.max(now);
    }

    /// Finds out that the process was stopped for a while.
    ///
    /// A stopped process wakes and goes on where it was: it would announce
    /// what was news then, wait for answers that have long come and gone, and
    /// take an answer of the platform from before for its newest.
    /// Wakeups are never further apart than an interval, so that a long gap
    /// can't be anything else; all that was under way is given up, and peers
    /// are asked at once. Nothing is announced until one of them has answered:
    /// what waits in the buffers is old as well. What it holds stays in force, and can only be
    /// replaced by something newer.
    pub(super) fn notice_pause(&mut self, now: Tick, out: &mut Vec<Action>) {
        let pause = now.since(self.last);
        if pause < self.cfg.pause_bound {
            return;
        }
        self.last = now;
        out.push(Action::Audit(AuditEvent::Paused { pause }));
        self.calls.clear();
        self.gossip.drop_news();
        self.gossip.quiet_until = Some(now + self.cfg.call_timeout);
        self.gossip.has_heard_since_waking = false;
        for stream in Stream::ALL {
            self.pulls[stream as usize].forget();
            self.reads[stream as usize].outdate(now);
        }
        let mut asked: Vec<Address> = Vec::new();
        for _ in 0..ASKED_ON_WAKING {
            let fits = |peer: &Address| !asked.contains(peer);
            let cross = self.cfg.cross_domain_percent;
            let drawn = self.peers.draw(now, cross, &mut self.rng, fits);
            asked.extend(drawn);
        }
        for peer in &asked {
            self.send_sync(now, peer, out);
        }
    }
}
