//! Bringing stale versions up to date: by peers, or else by the platform.

use std::time::Duration;

use super::SpreadMachine;
use crate::Action;
use crate::Stream;
use crate::Tick;
use crate::reader::ProofOrigin;
use crate::spread::join_state::JoinState;

impl SpreadMachine {
    /// How long this node may have missed changes, counted from its start if nothing was
    /// proved since. `None` if it joins, isn't placed in a list yet, or is in a fleet in which
    /// every node reads.
    pub(super) fn staleness(&self, now: Tick) -> Option<Duration> {
        let is_joined = matches!(self.join_state, JoinState::Joined(_));
        if !is_joined || self.role.placement().is_none() || self.role.every_node_reads() {
            return None;
        }
        let ages = Stream::ALL.map(|stream| self.age_of(now, stream));
        ages.into_iter().max()
    }

    fn age_of(&self, now: Tick, stream: Stream) -> Duration {
        let age = self.staleness.age(now, stream);
        age.unwrap_or_else(|| now.since(self.started))
    }

    /// When this node has to act on its staleness next.
    pub(super) fn catch_up_due(&self, now: Tick) -> Option<Tick> {
        let staleness = self.staleness(now)?;
        let ask_age = self.bounds.ask_age();
        if staleness < ask_age {
            return Some(now + (ask_age - staleness));
        }
        let next_ask = self.catch_up.next_ask().unwrap_or(now);
        let read = self.catch_up.read_due(now, self.bounds);
        let read = read.filter(|due| *due > now);
        Some(read.map_or(next_ask, |due| due.min(next_ask)))
    }

    /// Asks a peer if the versions are stale.
    pub(super) fn catch_up_if_stale(&mut self, now: Tick, out: &mut Vec<Action>) {
        let staleness = match self.staleness(now) {
            Some(staleness) if staleness >= self.bounds.ask_age() => staleness,
            _ => return self.catch_up.reset(),
        };
        let fleet = self.role.placement().map_or(1, |it| it.fleet_size);
        self.catch_up.draw_wait(fleet, &mut self.rng);
        if !self.catch_up.is_ask_due(now) {
            return;
        }
        let interval = self.cfg.interval;
        self.catch_up
            .record_asked(now, self.bounds, staleness, interval, &mut self.rng);
        if let Some(peer) = self.pick_sync_peer(now) {
            self.send_sync(now, &peer, out);
        }
    }

    /// Whether this node reads a stream because it has no other proof that it holds the newest
    /// version.
    pub(super) fn needs_catch_up_read(&self, now: Tick, stream: Stream) -> bool {
        let is_stale =
            self.staleness(now).is_some() && self.age_of(now, stream) >= self.bounds.ask_age();
        let due = self.catch_up.read_due(now, self.bounds);
        is_stale && due.is_some_and(|due| due <= now)
    }

    /// Records up to when a read of this node proved that it holds the newest version.
    pub(super) fn record_read_proof(&mut self, now: Tick, stream: Stream, proved_at: Option<Tick>) {
        match proved_at {
            Some(at) => {
                let reader = self.relay_tree.reader_index();
                self.staleness.record_read(stream, at, reader);
                self.schedule_heartbeat(now, ProofOrigin::OwnRead, None);
            }
            None => self.catch_up.record_failed_read(now),
        }
    }
}
