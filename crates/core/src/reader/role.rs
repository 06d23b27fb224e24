//! Whether a node reads the platform at the moment.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;

use super::Place;
use crate::SpreadConfig;

/// Ranks behind the readers that watch the readers closely and step in first.
const BACKUPS: u32 = 4;

/// How much longer than a backup everybody else waits. Proofs of contact
/// reach a node over several exchanges, so that in a large fleet those far
/// from a reader see ages of several intervals though all is well.
const OTHERS_WAIT: u32 = 4;

/// A node that isn't listed takes a rank among this many.
const UNLISTED_RANKS: u32 = 64;

/// Whether this node reads, and when it would begin to.
///
/// Ranks step in one after the other, so that a reader that died is replaced
/// by one node; the fresh proof of contact that this one makes holds back the
/// rest.
#[derive(Debug)]
pub(crate) struct Role {
    /// Readers wanted in the whole fleet.
    wanted: u32,
    /// Nodes up to which a fleet reads with all of them.
    all_read: u32,
    /// Readers in this node's failure domain.
    readers: u32,
    bound: Duration,
    step: Duration,
    unlisted: u32,
    place: Option<Place>,
    acting: bool,
}

impl Role {
    pub(crate) fn new(cfg: &SpreadConfig, rng: &mut SmallRng) -> Role {
        Role {
            wanted: cfg.readers,
            all_read: cfg.all_read,
            readers: cfg.readers,
            bound: cfg.contact_bound,
            step: cfg.takeover_step,
            unlisted: rng.random_range(0..UNLISTED_RANKS),
            place: None,
            acting: false,
        }
    }

    /// Takes in this node's place in a new list.
    pub(crate) fn set_place(&mut self, place: Place) {
        let per_domain = self.wanted.div_ceil(place.domains.max(1));
        let fleet = place.fleet.max(1);
        self.place = Some(place);
        self.readers = match self.all_read() {
            true => fleet,
            false => per_domain,
        };
    }

    /// Whether the fleet is so small that all of it reads.
    pub(crate) fn all_read(&self) -> bool {
        let place = self.place.as_ref();
        place.is_some_and(|place| place.fleet <= self.all_read)
    }

    /// Readers in this node's failure domain.
    pub(crate) fn readers(&self) -> u32 {
        self.readers
    }

    /// Whether it reads.
    pub(crate) fn reads(&self) -> bool {
        self.is_chosen() || self.acting
    }

    /// Whether the list makes it a reader.
    pub(crate) fn is_chosen(&self) -> bool {
        self.rank().is_some_and(|rank| rank < self.readers)
    }

    /// Its rank in its failure domain, if it is listed.
    pub(crate) fn rank(&self) -> Option<u32> {
        self.place.as_ref()?.rank
    }

    /// The rank by which it steps in.
    pub(crate) fn turn(&self) -> u32 {
        let unlisted = self.readers + BACKUPS + self.unlisted;
        self.rank().unwrap_or(unlisted)
    }

    /// Whether it stands next behind the readers.
    pub(crate) fn is_backup(&self) -> bool {
        let backups = self.readers..self.readers + BACKUPS;
        self.rank().is_some_and(|rank| backups.contains(&rank))
    }

    /// The place in the list, once there is one.
    pub(crate) fn place(&self) -> Option<&Place> {
        self.place.as_ref()
    }

    /// The age up to which a proof of contact, heard by any node of the fleet,
    /// says that all is well.
    pub(crate) fn usual_age(&self) -> Duration {
        self.bound.saturating_mul(OTHERS_WAIT)
    }

    /// The age of the newest proof of contact at which it steps in.
    pub(crate) fn patience(&self) -> Duration {
        let behind = self.turn().saturating_sub(self.readers);
        let steps = self.step.saturating_mul(behind);
        let bound = match self.is_backup() {
            true => self.bound,
            false => self.usual_age(),
        };
        bound + steps
    }

    /// Decides again whether it reads, by the age of the newest proof.
    /// Returns whether that changed.
    pub(crate) fn step_in(&mut self, age: Duration) -> bool {
        let before = self.reads();
        if self.place.is_some() && age >= self.patience() {
            self.acting = true;
        }
        self.reads() != before
    }

    /// Hears of a proof by a node of `rank` that is `age` old; a node that
    /// stepped in goes back once one that ranks before it reads again.
    /// Returns whether it ceased to read.
    pub(crate) fn step_back(&mut self, rank: u32, age: Duration) -> bool {
        let before = self.reads();
        if rank < self.turn() && age < self.bound {
            self.acting = false;
        }
        self.reads() != before
    }
}
