//! What is reported.

use serde::Deserialize;
use serde::Serialize;

/// Costs of one node's decisions; times are medians in microseconds of one
/// core.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct CoreCost {
    /// Members of the list, each with a node.
    pub members: usize,
    /// Services in the catalogue.
    pub services: usize,
    /// To read and judge the platform's text of a change, and announce it.
    pub reader_us_per_change: f64,
    /// To take a change in from an announcement or a pull, and announce it.
    pub member_us_per_change: f64,
    /// To give a change to a peer that asks.
    pub serve_us_per_change: f64,
    /// To take in one instance's change of the list.
    pub list_us_per_change: f64,
    /// To begin a regular comparison and take in its answer.
    pub sync_us: f64,
    /// To answer a regular comparison.
    pub sync_answer_us: f64,
    /// To take in a change of one endpoint's phase, and tell it.
    pub state_us: f64,
    /// To bind another snapshot for choosing endpoints.
    pub bind_us: f64,
    /// Bytes of an announcement with one change.
    pub announce_bytes: usize,
    /// Bytes of a comparison and of its answer, if nothing differs.
    pub sync_bytes: usize,
    /// Bytes of the whole catalogue as peers send it, compressed.
    pub catalogue_bytes: usize,
    /// Bytes of the whole list as peers send it, compressed.
    pub list_bytes: usize,
    /// Bytes of the list as the platform publishes it.
    pub published_list_bytes: usize,
    /// Bytes of the catalogue as the platform publishes it.
    pub published_catalogue_bytes: usize,
    /// Resident bytes of one node's decisions with all that they hold.
    pub state_bytes: f64,
}
