//! Messages that nodes send to one another.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::Body;
use crate::Contact;
use crate::EndpointState;
use crate::Heads;
use crate::Report;
use crate::Stream;
use crate::StreamProofs;
use crate::Version;

/// A message from one node to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum PeerMessage {
    /// A change, announced at once; answered by [`PeerReply::Heads`].
    ///
    /// [`PeerReply::Heads`]: crate::PeerReply::Heads
    Announce(Announce),
    /// A regular comparison; answered by [`PeerReply::Sync`].
    ///
    /// [`PeerReply::Sync`]: crate::PeerReply::Sync
    Sync(Sync),
    /// Requests the newest body; answered by [`PeerReply::Body`].
    ///
    /// [`PeerReply::Body`]: crate::PeerReply::Body
    Pull(Pull),
    /// Compares some endpoint states; answered by [`PeerReply::States`].
    ///
    /// [`PeerReply::States`]: crate::PeerReply::States
    Reconcile(Reconcile),
    /// Proofs that the sender holds the newest versions; answered by [`PeerReply::Heads`].
    ///
    /// [`PeerReply::Heads`]: crate::PeerReply::Heads
    Heartbeat(StreamProofs),
}

impl PeerMessage {
    /// The message kind, as a metrics label.
    pub const fn kind(&self) -> &'static str {
        match self {
            PeerMessage::Announce(_) => "announce",
            PeerMessage::Sync(_) => "sync",
            PeerMessage::Pull(_) => "pull",
            PeerMessage::Reconcile(_) => "reconcile",
            PeerMessage::Heartbeat(_) => "heartbeat",
        }
    }
}

/// Versions that a node now holds, and endpoint states that it received.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Announce {
    /// The sender's address for control messages: the receiver may not have the
    /// instance list yet.
    pub control: SocketAddr,
    /// The versions that the sender holds.
    pub heads: Heads,
    /// The sender's newest proof of contact with the platform.
    pub contact: Option<Contact>,
    /// The change itself, if it is small.
    pub body: Option<Body>,
    /// Endpoint states that are new to the sender.
    pub states: Vec<EndpointState>,
    /// Reports of crashes, and of answers to requests that ran in some of them,
    /// that are new to the sender.
    pub reports: Vec<Report>,
}

/// The request of a regular comparison.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Sync {
    /// The sender's address for control messages.
    pub control: SocketAddr,
    /// The versions that the sender holds.
    pub heads: Heads,
    /// The sender's newest proof of contact with the platform.
    pub contact: Option<Contact>,
    /// Digest over all endpoint states of the sender.
    pub states: u64,
    /// Digest over all crash reports of the sender.
    pub reports: u64,
}

/// Requests the newest version of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pull {
    /// The stream.
    pub stream: Stream,
    /// The version that the sender holds, as the base for a delta.
    pub held: Option<Version>,
}

/// The sender's endpoint states in the buckets that differ.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Reconcile {
    /// Bit mask of the buckets that are compared.
    pub buckets: u64,
    /// All endpoint states of the sender in these buckets.
    pub states: Vec<EndpointState>,
}
