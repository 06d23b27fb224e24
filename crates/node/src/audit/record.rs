//! Converts the core's audit events to records.

use sassafrasspool_core::AuditEvent;
use sassafrasspool_core::Content;
use sassafrasspool_core::Origin;
use sassafrasspool_core::Stream;
use sassafrasspool_core::Version;
use sassafrasspool_wire::admin::AuditRecord;

/// The event name of records about an endpoint's phase.
pub(super) const ENDPOINT: &str = "endpoint";

/// Maximum length of a stored reason, in characters.
const MAX_REASON_CHARS: usize = 2_000;

/// Maximum number of requests that the record of a crash lists.
const MAX_CRASH_CONTENTS: usize = 32;

/// The record of an event, without number and time.
pub(super) fn from_event(event: &AuditEvent) -> AuditRecord {
    match event {
        AuditEvent::Applied {
            stream,
            version,
            origin,
        } => versioned("applied", *stream, *version, origin),
        AuditEvent::Refused {
            stream,
            version,
            origin,
            reason,
        } => with_reason(versioned("refused", *stream, *version, origin), reason),
        AuditEvent::BodyRefused {
            stream,
            version,
            origin,
            reason,
        } => with_reason(versioned("body-refused", *stream, *version, origin), reason),
        AuditEvent::Conflict {
            stream,
            held,
            offered,
            origin,
        } => AuditRecord {
            kept: Some((*held).into()),
            ..versioned("conflict", *stream, *offered, origin)
        },
        AuditEvent::OlderIgnored {
            stream,
            held,
            offered,
            origin,
        } => AuditRecord {
            stream: Some(*stream),
            kept: Some((*held).into()),
            reason: Some(format!("revision {offered} was offered")),
            ..with_origin("older-ignored", origin)
        },
        AuditEvent::Endpoint {
            state,
            before,
            origin,
        } => AuditRecord {
            instance: Some(state.instance.clone()),
            phase: Some(state.phase),
            reason: before.map(|before| format!("was {before}")),
            ..with_origin(ENDPOINT, origin)
        },
        AuditEvent::Evacuated {
            domain,
            instances,
            origin,
        } => AuditRecord {
            reason: Some(format!("{domain}, with {instances} listed instances")),
            ..with_origin("evacuated", origin)
        },
        AuditEvent::EvacuationEnded { domain, origin } => AuditRecord {
            reason: Some(domain.to_string()),
            ..with_origin("evacuation-ended", origin)
        },
        AuditEvent::Replaced { state } => AuditRecord {
            event: "replaced".to_owned(),
            instance: Some(state.instance.clone()),
            phase: Some(state.phase),
            reason: Some(format!("by incarnation {}", state.incarnation)),
            ..AuditRecord::default()
        },
        other => from_node_event(other),
    }
}

/// The record of an event of the node itself, which has no origin.
fn from_node_event(event: &AuditEvent) -> AuditRecord {
    let (name, reason) = match event {
        AuditEvent::Joined {
            peers,
            source,
            took,
        } => {
            let platform = if *source { "and" } else { "without" };
            let ms = took.as_millis();
            let reason = format!("after {ms} ms with {peers} peers {platform} the platform");
            ("joined", reason)
        }
        AuditEvent::EpochBegan { epoch, before } => {
            ("epoch", format!("platform in epoch {epoch} after {before}"))
        }
        AuditEvent::Reading { reading, rank } => {
            let verb = if *reading { "began" } else { "ended" };
            ("reading", format!("{verb} at rank {rank}"))
        }
        AuditEvent::ListDeferred {
            offered,
            missing,
            wait,
        } => {
            let ms = wait.as_millis();
            let reason = format!("list {offered} lacks {missing} live entries: {ms} ms");
            ("list-waits", reason)
        }
        AuditEvent::TargetCrashed { ran } => {
            let shown = ran.iter().take(MAX_CRASH_CONTENTS).map(Content::to_string);
            let shown: Vec<String> = shown.collect();
            let reason = format!("it ran {}: {}", ran.len(), shown.join(" "));
            ("target-crashed", reason)
        }
        AuditEvent::Quarantined { content, origin } => {
            ("quarantined", format!("{content}, last told by {origin}"))
        }
        AuditEvent::ReleaseOrdered { content } => ("release-ordered", content.to_string()),
        AuditEvent::Released { content } => ("released", content.to_string()),
        AuditEvent::TargetLimitChanged { limit } => {
            let reason = match limit {
                Some(limit) => format!("{limit} requests a second from all nodes together"),
                None => "ended".to_owned(),
            };
            ("target-limit", reason)
        }
        AuditEvent::TargetLeaving => ("target-leaving", "stated in an answer".to_owned()),
        AuditEvent::CatchUpRead {
            staleness,
            peers_answer,
        } => {
            let peers = if *peers_answer { "stale too" } else { "silent" };
            let ms = staleness.as_millis();
            ("catch-up", format!("versions {ms} ms old, peers {peers}"))
        }
        AuditEvent::Paused { pause } => ("paused", format!("for {} ms", pause.as_millis())),
        other => ("other", format!("{other:?}")),
    };
    AuditRecord {
        event: name.to_owned(),
        reason: Some(reason),
        ..AuditRecord::default()
    }
}

/// A record of a version of a stream.
fn versioned(event: &str, stream: Stream, version: Version, origin: &Origin) -> AuditRecord {
    AuditRecord {
        stream: Some(stream),
        version: Some(version.into()),
        ..with_origin(event, origin)
    }
}

/// A record of an event with an origin.
fn with_origin(event: &str, origin: &Origin) -> AuditRecord {
    AuditRecord {
        event: event.to_owned(),
        from: Some(origin.to_string()),
        ..AuditRecord::default()
    }
}

/// A record with its reason, truncated to [`MAX_REASON_CHARS`].
fn with_reason(record: AuditRecord, reason: &str) -> AuditRecord {
    AuditRecord {
        reason: Some(reason.chars().take(MAX_REASON_CHARS).collect()),
        ..record
    }
}
