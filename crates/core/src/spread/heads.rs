//! Versions and contact times that nodes advertise to one another.

use serde::Deserialize;
use serde::Serialize;

use crate::Revision;
use crate::Stream;
use crate::Version;

/// The newest version of a stream that a node holds and has validated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The stream.
    pub stream: Stream,
    /// The version.
    pub version: Version,
}

/// The heads of both streams.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heads {
    /// The catalogue's version, if one is held.
    pub catalogue: Option<Version>,
    /// The instance list's version, if one is held.
    pub instances: Option<Version>,
}

impl Heads {
    /// The version of one stream.
    pub fn of(&self, stream: Stream) -> Option<Version> {
        match stream {
            Stream::Catalogue => self.catalogue,
            Stream::Instances => self.instances,
        }
    }

    /// The heads of the streams that are held.
    pub fn iter(&self) -> impl Iterator<Item = Head> + use<> {
        let heads = *self;
        Stream::ALL.into_iter().filter_map(move |stream| {
            let version = heads.of(stream)?;
            Some(Head { stream, version })
        })
    }
}

/// The newest proof that some node reached the platform.
///
/// The time is sent as an age, because wall clocks differ between instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    /// Milliseconds since the platform answered.
    pub age_ms: u32,
    /// Rank that the answered node has in its failure domain.
    pub rank: u32,
}

/// Proof that a revision of a stream, or a newer one, was the platform's newest at a time in
/// the past: whoever holds that revision has missed nothing up to then.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamProof {
    /// The revision.
    pub revision: Revision,
    /// Milliseconds since the time for which this is proved, rounded up.
    pub age_ms: u32,
    /// The place among the readers of the fleet of the one whose read proved it; absent if it
    /// isn't a reader.
    pub reader: Option<u32>,
}

/// The proofs of both streams.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamProofs {
    /// The catalogue's proof, if there is one.
    pub catalogue: Option<StreamProof>,
    /// The instance list's proof, if there is one.
    pub instances: Option<StreamProof>,
}

impl StreamProofs {
    /// The proof of one stream.
    pub fn of(&self, stream: Stream) -> Option<StreamProof> {
        match stream {
            Stream::Catalogue => self.catalogue,
            Stream::Instances => self.instances,
        }
    }
}
