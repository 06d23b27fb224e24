//! Age of the newest proof that the platform answered any node of the fleet.

use std::time::Duration;

use crate::Contact;
use crate::Tick;

/// The newest proof of contact with the platform that a node holds.
///
/// # Invariants
///
/// The time of the proof only grows. It may lie before the start of the
/// caller's clock: a node that has just started receives old proofs, and must
/// not treat them as fresh.
#[derive(Debug, Default)]
pub(crate) struct ContactClock {
    newest: Option<Proof>,
}

#[derive(Debug, Clone, Copy)]
struct Proof {
    at_us: i64,
    rank: u32,
}

impl ContactClock {
    /// Records that the platform answered this node, which has that rank.
    pub(crate) fn record_contact(&mut self, now: Tick, rank: u32) {
        self.update(Proof {
            at_us: micros(now),
            rank,
        });
    }

    /// Merges the proof that a peer sent.
    pub(crate) fn merge(&mut self, now: Tick, received: Option<Contact>) {
        if let Some(received) = received {
            self.update(Proof {
                at_us: micros(now) - i64::from(received.age_ms) * 1_000,
                rank: received.rank,
            });
        }
    }

    /// The age of the newest proof.
    pub(crate) fn age(&self, now: Tick) -> Option<Duration> {
        let proof = self.newest?;
        let us = u64::try_from(micros(now) - proof.at_us).unwrap_or(0);
        Some(Duration::from_micros(us))
    }

    /// The newest proof in the form that is sent to peers.
    pub(crate) fn current(&self, now: Tick) -> Option<Contact> {
        let age = self.age(now)?;
        Some(Contact {
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            rank: self.newest?.rank,
        })
    }

    fn update(&mut self, proof: Proof) {
        if self.newest.is_none_or(|newest| newest.at_us < proof.at_us) {
            // INVARIANT: The new proof is later than the stored one.
            self.newest = Some(proof);
        }
    }
}

fn micros(tick: Tick) -> i64 {
    i64::try_from(tick.as_micros()).unwrap_or(i64::MAX)
}
