//! Up to when it is known that nothing newer than a list was published.

use serde::Deserialize;
use serde::Serialize;

use crate::Revision;
use crate::Tick;

/// The proof that nothing newer than a list was published up to some time ago.
///
/// Only a node that asked for it may use it: a message that nobody waits for
/// may lie in a buffer while its reader is paused or cut off, and would pass
/// off an old proof as a fresh one.
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
/// The proof is of the newest revision that there ever was one of, and not for
/// later than the moment at which the platform gave it. It may lie before the start of
/// the node's clock.
#[derive(Debug, Default)]
pub(super) struct ListClock {
    newest: Option<Proof>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Proof {
    revision: Revision,
    at_us: i64,
}

impl ListClock {
    /// Notes an answer of the platform to a read that was begun at `asked`.
    ///
    /// The answer was made at some time since, and may have waited in a buffer:
    /// only the beginning of the read is sure to be before it.
    pub(super) fn prove(&mut self, read_started: Tick, revision: Revision) {
        self.note(Proof {
            revision,
            at_us: micros(read_started),
        });
    }

    /// Notes a peer's answer to what it was asked at `asked`.
    pub(super) fn merge(&mut self, sent_at: Tick, proof: Option<ListProof>) {
        if let Some(proof) = proof {
            self.note(Proof {
                revision: proof.revision,
                at_us: micros(sent_at) - i64::from(proof.age_ms) * 1_000,
            });
        }
    }

    /// The proof as it is told to those who ask, if it isn't too old to tell.
    pub(super) fn current(&self, now: Tick) -> Option<ListProof> {
        let proof = self.newest?;
        let age_ms = (micros(now) - proof.at_us) / 1_000 + 1;
        Some(ListProof {
            revision: proof.revision,
            age_ms: u32::try_from(age_ms).ok()?,
        })
    }

    fn note(&mut self, proof: Proof) {
        // INVARIANT: The order is by revision and then by time.
        self.newest = Ord::max(self.newest, Some(proof));
    }
}

fn micros(tick: Tick) -> i64 {
    i64::try_from(tick.as_micros()).unwrap_or(i64::MAX)
}
