//! What operators can see of a node's part in spreading.

use std::time::Duration;

use crate::Heads;
use crate::ListProof;
use crate::Version;

/// A node's view, for its admin address and metrics.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SpreadStatus {
    /// Whether it has joined.
    pub joined: bool,
    /// Whether it reads the platform for its failure domain.
    pub reading: bool,
    /// Its rank among the readers of its failure domain, if it is listed.
    pub rank: Option<u32>,
    /// What it holds.
    pub held: Heads,
    /// The newest that it heard of.
    pub heard: Heads,
    /// The last catalogue that it refused.
    pub refused: Option<Version>,
    /// How many peers it may talk to.
    pub peers: usize,
    /// Age of the newest proof of contact with the platform, by any node.
    pub source_age: Option<Duration>,
    /// Up to when nothing newer than the list that it names was published.
    pub list: Option<ListProof>,
    /// Conflicts seen so far.
    pub conflicts: u64,
    /// Versions refused so far.
    pub refusals: u64,
    /// Reads of the platform asked for so far.
    pub reads: u64,
}
