//! Selection of the nodes that read the platform, and their read rate.
//!
//! The platform answers a bounded number of reads per second, where a waiting
//! watch counts as one, and the fleet grows faster than that bound. Only a few
//! nodes of each failure domain read. The others receive versions from peers
//! and take over when no reader is active any more.

pub(crate) use self::backoff::Backoff;
pub(crate) use self::budget::ReadBudget;
pub(crate) use self::contact::ContactClock;
pub(crate) use self::placement::Placement;
pub(crate) use self::relay_tree::ProofOrigin;
pub(crate) use self::relay_tree::RelayTree;
pub(crate) use self::role::ReaderRole;
pub(crate) use self::staleness::ReaderProof;
pub(crate) use self::staleness::StalenessBounds;
pub(crate) use self::staleness::StalenessClock;

mod backoff;
mod budget;
mod contact;
mod placement;
mod relay_tree;
mod role;
mod staleness;
#[cfg(test)]
mod tests;
