//! The status of a node's dissemination for operators.

use std::time::Duration;

use crate::Heads;
use crate::ListProof;
use crate::Version;

/// The status of one node, for its admin address and metrics.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SpreadStatus {
    /// Whether it has joined.
    pub joined: bool,
    /// Whether it reads the platform for its failure domain.
    pub reading: bool,
    /// Its rank among the readers of its failure domain, if it is listed.
    pub rank: Option<u32>,
    /// The versions that it holds.
    pub held: Heads,
    /// The newest advertised versions.
    pub advertised: Heads,
    /// The version that it refused last.
    pub refused: Option<Version>,
    /// Number of listed peers.
    pub peers: usize,
    /// Age of the newest proof of contact of any node with the platform.
    pub source_age: Option<Duration>,
    /// How long it may have missed changes; `None` if every node of the fleet reads, or
    /// before it has joined.
    pub staleness: Option<Duration>,
    /// Its newest proof that nothing newer than a list was published.
    pub list_proof: Option<ListProof>,
    /// Number of conflicts so far.
    pub conflicts: u64,
    /// Number of refused versions so far.
    pub refusals: u64,
    /// Number of reads of the platform so far.
    pub reads: u64,
}
