//! Answers between nodes.

use serde::Deserialize;
use serde::Serialize;

use crate::Body;
use crate::Contact;
use crate::EndpointState;
use crate::Heads;
use crate::InstanceId;
use crate::ListProof;
use crate::Report;

/// The answer to a [`PeerMessage`](crate::PeerMessage).
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum PeerReply {
    /// What the answering node holds, if that is newer than what was
    /// announced.
    Heads(Option<Heads>),
    /// The other side of a comparison.
    Sync(SyncReply),
    /// The newest body; absent if the answering node has none that is newer.
    Body(Option<Body>),
    /// Endpoint states that the asking node didn't have.
    States(Vec<EndpointState>),
    /// The message can't be answered, for instance since this version of the
    /// program doesn't know it.
    Refused,
}

/// The answering side of a regular comparison.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SyncReply {
    /// The answering node: the asking one may only have had an address.
    pub from: InstanceId,
    /// Whether it has joined; a joining node's heads say little.
    pub joined: bool,
    /// What it holds.
    pub heads: Heads,
    /// Its newest proof of contact with the platform.
    pub contact: Option<Contact>,
    /// Up to when nothing newer than the list that it names was published.
    pub list: Option<ListProof>,
    /// Digests of its endpoint states by bucket, if they differ in all.
    pub buckets: Vec<u32>,
    /// What it remembers of the asking node itself.
    #[serde(rename = "about_you")]
    pub requester_state: Option<EndpointState>,
    /// Digest over all reports of crashes that it knows.
    pub reports_root: u64,
    /// These as far as they fit, if the asking node knows others.
    pub reports: Vec<Report>,
}
