//! Changes of state that are recorded in the audit trail.

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Content;
use crate::DomainName;
use crate::EndpointState;
use crate::Epoch;
use crate::Fingerprint;
use crate::InstanceId;
use crate::Phase;
use crate::RequestRate;
use crate::Revision;
use crate::Stream;
use crate::Version;

/// Where a version, state or report came from.
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
        /// The stream.
        stream: Stream,
        /// The version.
        version: Version,
        /// The origin of the version.
        origin: Origin,
    },
    /// A version was refused whole; the last valid one stays in force.
    Refused {
        /// The stream.
        stream: Stream,
        /// The version; if the text can't be parsed, the digest is of the text.
        version: Version,
        /// The origin of the version.
        origin: Origin,
        /// Every fault, one a line.
        reason: String,
    },
    /// One revision arrived with two contents; the first is kept.
    Conflict {
        /// The stream.
        stream: Stream,
        /// The version that is kept.
        held: Version,
        /// The other content of the same revision.
        offered: Version,
        /// The origin of the other content.
        origin: Origin,
    },
    /// An older version than the held one was offered as the newest.
    OlderIgnored {
        /// The stream.
        stream: Stream,
        /// The version that is kept.
        held: Version,
        /// The older revision.
        offered: Revision,
        /// The origin of the older revision.
        origin: Origin,
    },
    /// The platform answered in a later epoch than before: it has returned from an
    /// older copy of its data.
    EpochBegan {
        /// The epoch.
        epoch: Epoch,
        /// The newest epoch before it.
        before: Epoch,
    },
    /// A body couldn't be decoded or didn't have the announced digest; it was
    /// discarded whole.
    BodyRefused {
        /// The stream.
        stream: Stream,
        /// The version that the body claimed to lead to.
        version: Version,
        /// The origin of the body.
        origin: Origin,
        /// Why the body was refused.
        reason: String,
    },
    /// The known phase of an endpoint changed.
    Endpoint {
        /// The state that is known now.
        state: EndpointState,
        /// The phase known before, if there was one.
        before: Option<Phase>,
        /// The origin of the state.
        origin: Origin,
    },
    /// Another process announces this node's endpoint with a higher
    /// incarnation: this process was presumed dead and replaced.
    Replaced {
        /// The state that the other process announced.
        state: EndpointState,
    },
    /// The node has joined: its first snapshot was compared with other
    /// versions.
    Joined {
        /// How many peers had answered.
        peers: u32,
        /// Whether the platform had answered.
        source: bool,
        /// How long joining took.
        took: Duration,
    },
    /// The node began or stopped reading the platform for its failure domain.
    Reading {
        /// Whether the node reads now.
        reading: bool,
        /// Its rank among the readers of its failure domain, from 0.
        rank: u32,
    },
    /// An instance list was deferred because live entries are missing that may
    /// come back; the list held before stays in force.
    #[serde(rename = "list-waits")]
    ListDeferred {
        /// The deferred revision.
        offered: Revision,
        /// Number of missing live entries.
        missing: u32,
        /// Time until the list is read again.
        wait: Duration,
    },
    /// The local target crashed.
    TargetCrashed {
        /// The requests that the target was running.
        ran: Vec<Content>,
    },
    /// A request is withheld from targets from now on, because targets crashed
    /// while running it.
    Quarantined {
        /// Fingerprint of the request.
        content: Fingerprint,
        /// The origin of the report of the last crash.
        origin: Origin,
    },
    /// A request is no longer withheld from targets.
    Released {
        /// Fingerprint of the request.
        content: Fingerprint,
    },
    /// An operator released a request at this node, so that it may run again.
    ReleaseOrdered {
        /// Fingerprint of the request.
        content: Fingerprint,
    },
    /// An operator evacuated a failure domain: its targets get no new work.
    Evacuated {
        /// The failure domain.
        domain: DomainName,
        /// Instances of the domain in the held list; zero if no instance of
        /// that domain is listed.
        instances: u32,
        /// The origin of the catalogue with this change.
        origin: Origin,
    },
    /// A failure domain is no longer evacuated.
    EvacuationEnded {
        /// The failure domain.
        domain: DomainName,
        /// The origin of the catalogue with this change.
        origin: Origin,
    },
    /// The rate limit changed that the local target states for all nodes together.
    TargetLimitChanged {
        /// The limit; `None` if it has ended.
        limit: Option<RequestRate>,
    },
    /// The local target stated in an answer that it leaves.
    TargetLeaving,
    /// A node that isn't a reader reads the platform, since its versions are stale.
    CatchUpRead {
        /// How long it may have missed changes.
        staleness: Duration,
        /// Whether peers answer, whose versions are stale as well.
        peers_answer: bool,
    },
    /// The process was stopped for a while and has resumed.
    Paused {
        /// Length of the pause.
        pause: Duration,
    },
}
