//! Report of a run.

use serde::Deserialize;
use serde::Serialize;

/// Costs of one node's state machine. Times are medians in microseconds of one
/// core.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct CoreCost {
    /// Members of the instance list, each with a node.
    pub members: usize,
    /// Services in the catalogue.
    pub services: usize,
    /// Time to parse and validate a change read from the platform, and to
    /// announce it.
    pub reader_us_per_change: f64,
    /// Time to apply a change from an announcement or a pull, and to announce
    /// it.
    pub member_us_per_change: f64,
    /// Time to serve a change to a peer that pulls it.
    pub serve_us_per_change: f64,
    /// Time to apply a change of one instance in the list.
    pub list_us_per_change: f64,
    /// Time to start an anti-entropy exchange and to process its answer.
    pub sync_us: f64,
    /// Time to answer an anti-entropy exchange.
    pub sync_answer_us: f64,
    /// Time to apply a change of one endpoint's phase, and to announce it.
    pub state_us: f64,
    /// Time to build the endpoint picker of a new snapshot.
    pub bind_us: f64,
    /// Bytes of an announcement of one change.
    pub announce_bytes: usize,
    /// Bytes of an anti-entropy exchange without differences, in both
    /// directions.
    pub sync_bytes: usize,
    /// Bytes of the whole catalogue as peers send it, compressed.
    pub catalogue_bytes: usize,
    /// Bytes of the whole list as peers send it, compressed.
    pub list_bytes: usize,
    /// Bytes of the list as the platform publishes it.
    pub published_list_bytes: usize,
    /// Bytes of the catalogue as the platform publishes it.
    pub published_catalogue_bytes: usize,
    /// Resident memory of one state machine with its versions, in bytes.
    pub state_bytes: f64,
}
