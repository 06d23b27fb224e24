//! Failure tests on a simulated network of nodes and a platform.

mod basics;
mod components;
mod costs;
mod crashes;
mod endpoints;
mod lag;
mod list_proofs;
mod net;
mod node;
mod outages;
mod partitions;
mod platform;
mod random;
mod restores;
mod silence;
mod staleness;
mod versions;
