//! An endpoint of a snapshot with its meter, as the picker holds it.

use std::sync::Arc;

use super::meter::Meter;
use super::rendezvous::Score;
use crate::EndpointKey;
use crate::InstanceId;
use crate::RegionName;

/// An endpoint that requests may be sent to.
#[derive(Debug, Clone)]
pub(super) struct Candidate {
    pub(super) key: EndpointKey,
    pub(super) id: InstanceId,
    pub(super) region: RegionName,
    pub(super) tier: usize,
    pub(super) slots: u32,
    pub(super) score: Score,
    pub(super) meter: Arc<Meter>,
}
