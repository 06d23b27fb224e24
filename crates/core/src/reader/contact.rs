//! How old the newest proof is that the platform answered somebody.

use std::time::Duration;

use crate::Contact;
use crate::Tick;

/// The newest proof of contact that a node knows of.
///
/// # Invariants
///
/// The time of the proof only grows. It may lie before the start of the
/// caller's clock: a node that has just started hears of old proofs, and must
/// not take them for fresh.
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
    /// Notes that the platform answered this node, which has that rank.
    pub(crate) fn prove(&mut self, now: Tick, rank: u32) {
        self.note(Proof {
            at_us: micros(now),
            rank,
        });
    }

    /// Notes what a peer told.
    pub(crate) fn merge(&mut self, now: Tick, told: Option<Contact>) {
        if let Some(told) = told {
            self.note(Proof {
                at_us: micros(now) - i64::from(told.age_ms) * 1_000,
                rank: told.rank,
            });
        }
    }

    /// The age of the newest proof.
    pub(crate) fn age(&self, now: Tick) -> Option<Duration> {
        let proof = self.newest?;
        let us = u64::try_from(micros(now) - proof.at_us).unwrap_or(0);
        Some(Duration::from_micros(us))
    }

    /// The newest proof as it is told to peers.
    pub(crate) fn current(&self, now: Tick) -> Option<Contact> {
        let age = self.age(now)?;
        Some(Contact {
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            rank: self.newest?.rank,
        })
    }

    fn note(&mut self, proof: Proof) {
        if self.newest.is_none_or(|newest| newest.at_us < proof.at_us) {
            // INVARIANT: The new proof is later.
            self.newest = Some(proof);
        }
    }
}

fn micros(tick: Tick) -> i64 {
    i64::try_from(tick.as_micros()).unwrap_or(i64::MAX)
}
