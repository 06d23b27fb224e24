//! Changes of state worth a line of the audit trail.

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Content;
use crate::DomainName;
use crate::EndpointState;
use crate::Fingerprint;
use crate::InstanceId;
use crate::Phase;
use crate::Revision;
use crate::Stream;
use crate::Version;

/// Where something came from.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Origin {
    /// The platform.
    Source,
    /// Another node.
    Peer(InstanceId),
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Origin::Source => f.write_str("source"),
            Origin::Peer(id) => write!(f, "peer {id}"),
        }
    }
}

/// A change of state, for the audit trail.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
#[non_exhaustive]
pub enum AuditEvent {
    /// A version came into force.
    Applied {
        /// Of which stream.
        stream: Stream,
        /// The version.
        version: Version,
        /// Who gave it.
        origin: Origin,
    },
    /// A version was refused whole; the last good one stays in force.
    Refused {
        /// Of which stream.
        stream: Stream,
        /// The version; for a text that can't be read, the digest is of the
        /// text.
        version: Version,
        /// Who gave it.
        origin: Origin,
        /// Every fault, a line each.
        reason: String,
    },
    /// One revision came with two contents; the first is kept.
    Conflict {
        /// Of which stream.
        stream: Stream,
        /// The version that is kept.
        held: Version,
        /// The other content of the same revision.
        offered: Version,
        /// Who gave the other.
        origin: Origin,
    },
    /// Something older than what is held was offered as the newest.
    OlderIgnored {
        /// Of which stream.
        stream: Stream,
        /// The version that is kept.
        held: Version,
        /// The older revision.
        offered: Revision,
        /// Who offered it.
        origin: Origin,
    },
    /// A body didn't decode, or hadn't the digest that was announced; nothing
    /// of it was used.
    BodyRefused {
        /// Of which stream.
        stream: Stream,
        /// The version that it claimed to be.
        version: Version,
        /// Who gave it.
        origin: Origin,
        /// What was wrong.
        reason: String,
    },
    /// An endpoint's phase changed as far as this node knows.
    Endpoint {
        /// What is known now.
        state: EndpointState,
        /// The phase known before, if there was one.
        before: Option<Phase>,
        /// Who told it.
        origin: Origin,
    },
    /// Another process speaks for this node's endpoint, with a higher
    /// incarnation: this one was taken for dead and replaced.
    Replaced {
        /// What it said.
        state: EndpointState,
    },
    /// The node has joined: it compared its first snapshot with others.
    Joined {
        /// How many peers had answered.
        peers: u32,
        /// Whether the platform had answered.
        source: bool,
        /// How long it took.
        took: Duration,
    },
    /// The node began or ended reading the platform for its failure domain.
    Reading {
        /// Whether it reads now.
        reading: bool,
        /// Its rank among the readers of its failure domain, from 0.
        rank: u32,
    },
    /// An instance list was put off, since it lacks live entries that may come
    /// back; the one before stays in force.
    ListWaits {
        /// The revision that was put off.
        offered: Revision,
        /// Live entries that it lacks.
        missing: u32,
        /// Until it is read again.
        wait: Duration,
    },
    /// The target beside this node crashed.
    TargetCrashed {
        /// What it was running.
        ran: Vec<Content>,
    },
    /// A request is kept from targets from now on, since they crash under it.
    Quarantined {
        /// What it asks for.
        content: Fingerprint,
        /// Who told of the last crash.
        origin: Origin,
    },
    /// A request isn't kept from targets any more.
    Released {
        /// What it asks for.
        content: Fingerprint,
    },
    /// An operator told this node that a request may run again.
    ReleaseOrdered {
        /// What it asks for.
        content: Fingerprint,
    },
    /// Operators have evacuated a failure domain: its targets get no new work.
    Evacuated {
        /// The failure domain.
        domain: DomainName,
        /// Instances there by the list that is held; zero if nobody knows that domain.
        instances: u32,
        /// Who told of it.
        origin: Origin,
    },
    /// A failure domain is no longer evacuated.
    EvacuationEnded {
        /// The failure domain.
        domain: DomainName,
        /// Who told of it.
        origin: Origin,
    },
    /// The process was stopped for a while and has woken.
    Paused {
        /// For how long.
        pause: Duration,
    },
}
