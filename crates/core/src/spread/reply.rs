//! Replies between nodes.

use serde::Deserialize;
use serde::Serialize;

use crate::Body;
use crate::Contact;
use crate::EndpointState;
use crate::Heads;
use crate::InstanceId;
use crate::ListProof;
use crate::Report;
use crate::StreamProofs;

/// The reply to a [`PeerMessage`](crate::PeerMessage).
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum PeerReply {
    /// The versions that the answering node holds, if one is newer than the
    /// announced one.
    Heads(Option<Heads>),
    /// The reply of a comparison.
    Sync(Box<SyncReply>),
    /// The newest body; absent if the answering node holds nothing newer.
    Body(Option<Body>),
    /// Endpoint states that the requester lacks.
    States(Vec<EndpointState>),
    /// The message can't be answered, for instance because this version of the
    /// program doesn't support it.
    Refused,
}

/// The reply of a regular comparison.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SyncReply {
    /// The answering node: the requester may only have had an address.
    pub from: InstanceId,
    /// Whether it has joined; the heads of a joining node prove little.
    pub joined: bool,
    /// The versions that it holds.
    pub heads: Heads,
    /// Its newest proof of contact with the platform.
    pub contact: Option<Contact>,
    /// Its newest proof that nothing newer than a list was published.
    pub list: Option<ListProof>,
    /// Digests of its endpoint states by bucket, if the digest over all states
    /// differs.
    pub buckets: Vec<u32>,
    /// The state of the requester's endpoint, as known to the answering node.
    #[serde(rename = "about_you")]
    pub requester_state: Option<EndpointState>,
    /// Digest over all its crash reports.
    pub reports_root: u64,
    /// Its crash reports, as many as fit, if the digest over all reports
    /// differs.
    pub reports: Vec<Report>,
    /// Its proofs that it holds the newest versions.
    pub proofs: StreamProofs,
}
