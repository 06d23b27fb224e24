//! Proof of the time up to which a list was the newest that was published.

use serde::Deserialize;
use serde::Serialize;

use crate::Revision;
use crate::Tick;

/// Proof that nothing newer than a list was published up to a time in the past.
///
/// Only the node that requested it may use it: an unrequested message may lie
/// in a buffer while its receiver is paused or partitioned, and an old proof
/// would then count as fresh.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListProof {
    /// The revision of the list.
    pub revision: Revision,
    /// Milliseconds since the time for which this is proved, rounded up.
    pub age_ms: u32,
}

/// The newest proof that a node has.
///
/// # Invariants
///
/// The proof is of the newest revision of which the node ever had a proof, and
/// its time is no later than the moment at which the platform gave it. The time
/// may lie before the start of the node's clock.
#[derive(Debug, Default)]
pub(super) struct NewestListProof {
    newest: Option<Proof>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Proof {
    revision: Revision,
    at_us: i64,
}

impl NewestListProof {
    /// Records an answer of the platform to a read that started at
    /// `read_started`.
    ///
    /// The platform made the answer at an unknown time since then, and the
    /// answer may have waited in a buffer. Only the start of the read is
    /// certain to precede it.
    pub(super) fn record_source_answer(&mut self, read_started: Tick, revision: Revision) {
        self.note(Proof {
            revision,
            at_us: micros(read_started),
        });
    }

    /// Records the proof in a peer's reply to a call sent at `sent_at`.
    pub(super) fn record_peer_proof(&mut self, sent_at: Tick, proof: Option<ListProof>) {
        if let Some(proof) = proof {
            self.note(Proof {
                revision: proof.revision,
                at_us: micros(sent_at) - i64::from(proof.age_ms) * 1_000,
            });
        }
    }

    /// The proof for peers that request it, unless its age exceeds the range of
    /// `age_ms`.
    pub(super) fn current(&self, now: Tick) -> Option<ListProof> {
        let proof = self.newest?;
        let age_ms = (micros(now) - proof.at_us) / 1_000 + 1;
        Some(ListProof {
            revision: proof.revision,
            age_ms: u32::try_from(age_ms).ok()?,
        })
    }

    fn note(&mut self, proof: Proof) {
        // INVARIANT: Proofs are ordered by revision and then by time.
        self.newest = Ord::max(self.newest, Some(proof));
    }
}

fn micros(tick: Tick) -> i64 {
    i64::try_from(tick.as_micros()).unwrap_or(i64::MAX)
}
