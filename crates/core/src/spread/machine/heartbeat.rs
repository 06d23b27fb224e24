//! Heartbeats: proofs of the newest versions that readers send down the relay tree.

use std::collections::BTreeMap;
use std::time::Duration;

use super::SpreadMachine;
use crate::Action;
use crate::Heads;
use crate::InstanceId;
use crate::PeerMessage;
use crate::PeerReply;
use crate::Stream;
use crate::StreamProof;
use crate::StreamProofs;
use crate::Tick;
use crate::reader::ProofOrigin;
use crate::spread::calls::Address;
use crate::spread::calls::Purpose;
use crate::spread::join_state::JoinState;

/// Part of the proof interval that a node waits at least between two heartbeats, so that one
/// heartbeat carries the proofs of both streams where they come shortly after one another.
const MIN_GAP_PART: f64 = 0.6;

/// Part of the proof interval by which a proof has to be newer than the last one sent.
const MIN_GAIN_PART: f64 = 0.25;

/// How long a peer that didn't answer a heartbeat is passed over.
const UNREACHABLE_TIME: Duration = Duration::from_secs(3);

/// The heartbeat that a node sends next.
#[derive(Debug, Default)]
pub(super) struct NextHeartbeat {
    /// When it is due, and where its newest proof comes from.
    due: Option<(Tick, ProofOrigin)>,
    /// The peer that sent the newest proof.
    sender: Option<InstanceId>,
    last_sent: Option<Tick>,
    /// Peers that didn't answer a heartbeat, and until when they are passed over. Other
    /// messages are still sent to them.
    unreachable: BTreeMap<InstanceId, Tick>,
    /// Staleness of the last proofs that were sent, at the time of `last_sent`.
    last_ages: [Option<Duration>; Stream::ALL.len()],
}

impl SpreadMachine {
    /// The proofs that this node has for the versions that it holds.
    pub(super) fn current_proofs(&self, now: Tick) -> StreamProofs {
        let proof = |stream: Stream| {
            let held = self.store.heads().of(stream)?;
            let age = self.staleness.age(now, stream)?;
            let age_ms = u32::try_from(age.as_millis()).ok()?.checked_add(1)?;
            Some(StreamProof {
                revision: held.revision(),
                age_ms,
                reader: self.staleness.prover(stream),
            })
        };
        StreamProofs {
            catalogue: proof(Stream::Catalogue),
            instances: proof(Stream::Instances),
        }
    }

    /// Merges the proofs that a peer sent at `sent_at` or later. Returns whether the peer has
    /// a newer version than this node, which then learns nothing from the proof of it.
    pub(super) fn merge_proofs(&mut self, sent_at: Tick, proofs: &StreamProofs) -> bool {
        let mut lacks = false;
        for stream in Stream::ALL {
            let Some(proof) = proofs.of(stream) else {
                continue;
            };
            if self.store.lacks_revision(stream, proof.revision) {
                lacks = true;
                continue;
            }
            let age = Duration::from_millis(proof.age_ms.into());
            self.staleness
                .record_received(sent_at, stream, age, proof.reader);
        }
        lacks
    }

    pub(super) fn answer_heartbeat(
        &mut self,
        now: Tick,
        from: &InstanceId,
        proofs: &StreamProofs,
        out: &mut Vec<Action>,
    ) -> PeerReply {
        if !self.catch_up.trusts_heartbeats(now) {
            return PeerReply::Heads(None);
        }
        if self.merge_proofs(now, proofs) {
            if let Some(sender) = self.peers.find(from)
                && !self.calls.is_in_flight(Purpose::Sync)
            {
                self.send_sync(now, &sender, out);
            }
        } else {
            let origin = match self.peers.is_in_same_domain(from) {
                true => ProofOrigin::SameDomain,
                false => ProofOrigin::OtherDomain,
            };
            self.schedule_heartbeat(now, origin, Some(from));
        }
        PeerReply::Heads(self.heads_beyond(proofs))
    }

    /// Records that a peer didn't answer a heartbeat.
    pub(super) fn record_lost_heartbeat(&mut self, now: Tick, to: &Address) {
        if let Some(id) = &to.id {
            let until = now + UNREACHABLE_TIME;
            self.heartbeat.unreachable.insert(id.clone(), until);
        }
    }

    /// The held heads, if one is newer than what a peer has.
    fn heads_beyond(&self, proofs: &StreamProofs) -> Option<Heads> {
        let heads = self.store.heads();
        let is_newer = |stream: &Stream| {
            let (Some(held), Some(theirs)) = (heads.of(*stream), proofs.of(*stream)) else {
                return false;
            };
            held.revision() > theirs.revision
        };
        Stream::ALL.iter().any(is_newer).then_some(heads)
    }

    /// Schedules a heartbeat if a proof is newer than the last one sent.
    pub(super) fn schedule_heartbeat(
        &mut self,
        now: Tick,
        origin: ProofOrigin,
        sender: Option<&InstanceId>,
    ) {
        let is_joined = matches!(self.join_state, JoinState::Joined(_));
        if !is_joined || self.role.placement().is_none() || self.role.every_node_reads() {
            return;
        }
        let interval = self.bounds.proof_interval();
        let since_last = self.heartbeat.last_sent.map(|at| now.since(at));
        let gains = |stream: &Stream| {
            let Some(age) = self.staleness.age(now, *stream) else {
                return false;
            };
            let last = self.heartbeat.last_ages[*stream as usize];
            let last = last.and_then(|last| Some(last + since_last?));
            last.is_none_or(|last| age + interval.mul_f64(MIN_GAIN_PART) < last)
        };
        if !Stream::ALL.iter().any(gains) {
            return;
        }
        let earliest = self
            .heartbeat
            .last_sent
            .map_or(now, |at| at + interval.mul_f64(MIN_GAP_PART));
        let due = earliest.max(now);
        self.heartbeat.sender = sender.cloned();
        // A proof of the own read goes to more nodes than a received one.
        let before = self.heartbeat.due.map(|(_, origin)| origin);
        let widest = match before {
            Some(ProofOrigin::OwnRead) => ProofOrigin::OwnRead,
            Some(ProofOrigin::OtherDomain) if origin == ProofOrigin::SameDomain => {
                ProofOrigin::OtherDomain
            }
            _ => origin,
        };
        self.heartbeat.due = Some((due, widest));
    }

    /// When the next heartbeat is due.
    pub(super) fn heartbeat_due(&self) -> Option<Tick> {
        self.heartbeat.due.map(|(due, _)| due)
    }

    pub(super) fn send_heartbeat_if_due(&mut self, now: Tick, out: &mut Vec<Action>) {
        let Some((_, origin)) = self.heartbeat.due.take_if(|(due, _)| *due <= now) else {
            return;
        };
        let proofs = self.current_proofs(now);
        let sender = self.heartbeat.sender.take();
        self.heartbeat.unreachable.retain(|_, until| *until > now);
        let (peers, unreachable) = (&self.peers, &self.heartbeat.unreachable);
        let is_reachable = |id: &InstanceId| {
            let is_passed_over = sender.as_ref() == Some(id) || unreachable.contains_key(id);
            !is_passed_over && peers.is_usable(now, id)
        };
        for id in self.relay_tree.receivers(origin, is_reachable) {
            if let Some(to) = self.peers.find(&id) {
                let message = PeerMessage::Heartbeat(proofs);
                self.calls.send(now, &to, Purpose::Heartbeat, message, out);
            }
        }
        self.heartbeat.last_sent = Some(now);
        self.heartbeat.last_ages = Stream::ALL.map(|stream| self.staleness.age(now, stream));
    }
}
