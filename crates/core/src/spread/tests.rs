//! Failures, each brought about on a small fake of the network.

mod basics;
mod costs;
mod crashes;
mod endpoints;
mod lag;
mod net;
mod node;
mod outages;
mod partitions;
mod parts;
mod platform;
mod proofs;
mod random;
mod silence;
mod versions;
