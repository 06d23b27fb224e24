//! Whether a node currently reads the platform.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;

use super::Placement;
use crate::SpreadConfig;

/// Number of ranks after the readers that take over first when the readers fail.
const BACKUPS: u32 = 4;

/// Factor by which all other nodes wait longer than a backup before they take over.
/// Proofs of contact reach a node over several exchanges, so in a large fleet nodes
/// far from a reader see ages of several intervals although the readers work.
const OTHERS_WAIT_FACTOR: u32 = 4;

/// An unlisted node draws its rank among this many.
const UNLISTED_RANKS: u32 = 64;

/// Whether this node reads the platform, and when it would take over.
///
/// Ranks take over one after the other, so a failed reader is replaced by one
/// node: the fresh proof of contact that this node produces keeps the later ranks
/// from taking over.
#[derive(Debug)]
pub(crate) struct ReaderRole {
    /// Readers in the whole fleet, as configured.
    fleet_readers: u32,
    /// Largest fleet in which every node reads.
    all_read_max_fleet: u32,
    /// Readers in this node's failure domain.
    domain_readers: u32,
    contact_bound: Duration,
    takeover_step: Duration,
    /// Rank that this node draws for the case that it is unlisted.
    unlisted_rank: u32,
    placement: Option<Placement>,
    /// Whether this node has taken over from a failed reader.
    acting: bool,
}

impl ReaderRole {
    pub(crate) fn new(cfg: &SpreadConfig, rng: &mut SmallRng) -> ReaderRole {
        ReaderRole {
            fleet_readers: cfg.readers,
            all_read_max_fleet: cfg.all_read,
            domain_readers: cfg.readers,
            contact_bound: cfg.contact_bound,
            takeover_step: cfg.takeover_step,
            unlisted_rank: rng.random_range(0..UNLISTED_RANKS),
            placement: None,
            acting: false,
        }
    }

    /// Applies this node's placement in a new list.
    pub(crate) fn set_placement(&mut self, placement: Placement) {
        let per_domain = self.fleet_readers.div_ceil(placement.domain_count.max(1));
        let fleet = placement.fleet_size.max(1);
        self.placement = Some(placement);
        self.domain_readers = match self.every_node_reads() {
            true => fleet,
            false => per_domain,
        };
    }

    /// Whether the fleet is small enough that every node reads.
    pub(crate) fn every_node_reads(&self) -> bool {
        let placement = self.placement.as_ref();
        placement.is_some_and(|placement| placement.fleet_size <= self.all_read_max_fleet)
    }

    /// Number of readers in this node's failure domain.
    pub(crate) fn readers_in_domain(&self) -> u32 {
        self.domain_readers
    }

    /// Whether the node reads, as a chosen reader or after a takeover.
    pub(crate) fn is_reader(&self) -> bool {
        self.is_chosen() || self.acting
    }

    /// Whether its rank in the list makes the node a reader.
    pub(crate) fn is_chosen(&self) -> bool {
        self.rank().is_some_and(|rank| rank < self.domain_readers)
    }

    /// The node's rank in its failure domain, if it is ranked.
    pub(crate) fn rank(&self) -> Option<u32> {
        self.placement.as_ref()?.rank
    }

    /// The rank that determines the order of takeovers.
    pub(crate) fn takeover_rank(&self) -> u32 {
        let unlisted = self.domain_readers + BACKUPS + self.unlisted_rank;
        self.rank().unwrap_or(unlisted)
    }

    /// Whether the node has one of the ranks right after the readers.
    pub(crate) fn is_backup(&self) -> bool {
        let backups = self.domain_readers..self.domain_readers + BACKUPS;
        self.rank().is_some_and(|rank| backups.contains(&rank))
    }

    /// The placement in the list, once a list was applied.
    pub(crate) fn placement(&self) -> Option<&Placement> {
        self.placement.as_ref()
    }

    /// Highest age of the newest proof of contact that any node of the fleet sees
    /// while the readers work.
    pub(crate) fn max_healthy_age(&self) -> Duration {
        self.contact_bound.saturating_mul(OTHERS_WAIT_FACTOR)
    }

    /// Age of the newest proof of contact at which the node takes over.
    pub(crate) fn takeover_age(&self) -> Duration {
        let ranks_behind = self.takeover_rank().saturating_sub(self.domain_readers);
        let steps = self.takeover_step.saturating_mul(ranks_behind);
        let bound = match self.is_backup() {
            true => self.contact_bound,
            false => self.max_healthy_age(),
        };
        bound + steps
    }

    /// Takes over as a reader if the newest proof of contact is too old.
    /// Returns whether the node became a reader.
    pub(crate) fn try_take_over(&mut self, age: Duration) -> bool {
        let before = self.is_reader();
        if self.placement.is_some() && age >= self.takeover_age() {
            self.acting = true;
        }
        self.is_reader() != before
    }

    /// Processes a proof of contact by a node of `rank` that is `age` old. A node
    /// that took over yields once a node that ranks before it reads again.
    /// Returns whether the node stopped reading.
    pub(crate) fn yield_to(&mut self, rank: u32, age: Duration) -> bool {
        let before = self.is_reader();
        if rank < self.takeover_rank() && age < self.contact_bound {
            self.acting = false;
        }
        self.is_reader() != before
    }
}
