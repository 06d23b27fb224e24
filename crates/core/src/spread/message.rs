//! What nodes ask and tell one another.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::Body;
use crate::Contact;
use crate::EndpointState;
use crate::Heads;
use crate::Report;
use crate::Stream;
use crate::Version;

/// A message from one node to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum PeerMessage {
    /// News, told at once; answered by [`PeerReply::Heads`].
    ///
    /// [`PeerReply::Heads`]: crate::PeerReply::Heads
    Announce(Announce),
    /// A regular comparison; answered by [`PeerReply::Sync`].
    ///
    /// [`PeerReply::Sync`]: crate::PeerReply::Sync
    Sync(Sync),
    /// Asks for the newest body; answered by [`PeerReply::Body`].
    ///
    /// [`PeerReply::Body`]: crate::PeerReply::Body
    Pull(Pull),
    /// Compares some endpoint states; answered by [`PeerReply::States`].
    ///
    /// [`PeerReply::States`]: crate::PeerReply::States
    Reconcile(Reconcile),
}

impl PeerMessage {
    /// The message's kind in metrics.
    pub const fn kind(&self) -> &'static str {
        match self {
            PeerMessage::Announce(_) => "announce",
            PeerMessage::Sync(_) => "sync",
            PeerMessage::Pull(_) => "pull",
            PeerMessage::Reconcile(_) => "reconcile",
        }
    }
}

/// Versions that a node now holds, and endpoint states that it learnt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Announce {
    /// Where the sender takes control messages: the receiver may not have the
    /// instance list yet.
    pub control: SocketAddr,
    /// What the sender holds.
    pub heads: Heads,
    /// The sender's newest proof of contact with the platform.
    pub contact: Option<Contact>,
    /// The change itself if it is small.
    pub body: Option<Body>,
    /// Endpoint states that are news to the sender.
    pub states: Vec<EndpointState>,
    /// Crashes, and answers to what was running in some, that are news to the sender.
    pub reports: Vec<Report>,
}

/// One side of a regular comparison.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Sync {
    /// Where the sender takes control messages.
    pub control: SocketAddr,
    /// What the sender holds.
    pub heads: Heads,
    /// The sender's newest proof of contact with the platform.
    pub contact: Option<Contact>,
    /// Digest over all endpoint states that the sender knows.
    pub states: u64,
    /// Digest over all reports of crashes that the sender knows.
    pub reports: u64,
}

/// Asks for the newest version of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pull {
    /// The stream.
    pub stream: Stream,
    /// What the sender holds, as the base for a delta.
    pub held: Option<Version>,
}

/// The sender's endpoint states in the buckets that differ.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Reconcile {
    /// A bit for each bucket that is compared.
    pub buckets: u64,
    /// All that the sender knows in them.
    pub states: Vec<EndpointState>,
}
