//! From the core's events to records.

use sassafrasspool_core::AuditEvent;
use sassafrasspool_core::Content;
use sassafrasspool_core::Origin;
use sassafrasspool_core::Stream;
use sassafrasspool_core::Version;
use sassafrasspool_wire::admin::AuditRecord;

/// The event of records that tell of endpoints.
pub(super) const ENDPOINT: &str = "endpoint";

/// The longest reason that is kept, in characters.
const MAX_REASON_CHARS: usize = 2_000;

/// Requests of a crash that a record tells of.
const MAX_CONTENTS: usize = 32;

/// The record of an event, without number and time.
pub(super) fn of(event: &AuditEvent) -> AuditRecord {
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
        } => because(versioned("refused", *stream, *version, origin), reason),
        AuditEvent::BodyRefused {
            stream,
            version,
            origin,
            reason,
        } => because(versioned("body-refused", *stream, *version, origin), reason),
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
            ..named("older-ignored", origin)
        },
        AuditEvent::Endpoint {
            state,
            before,
            origin,
        } => AuditRecord {
            instance: Some(state.instance.clone()),
            phase: Some(state.phase),
            reason: before.map(|before| format!("was {before}")),
            ..named(ENDPOINT, origin)
        },
        AuditEvent::Evacuated {
            domain,
            instances,
            origin,
        } => AuditRecord {
            reason: Some(format!("{domain}, with {instances} listed instances")),
            ..named("evacuated", origin)
        },
        AuditEvent::EvacuationEnded { domain, origin } => AuditRecord {
            reason: Some(domain.to_string()),
            ..named("evacuation-ended", origin)
        },
        AuditEvent::Replaced { state } => AuditRecord {
            event: "replaced".to_owned(),
            instance: Some(state.instance.clone()),
            phase: Some(state.phase),
            reason: Some(format!("by incarnation {}", state.incarnation)),
            ..AuditRecord::default()
        },
        other => own(other),
    }
}

/// Events of the node itself, which came from nobody.
fn own(event: &AuditEvent) -> AuditRecord {
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
            let shown = ran.iter().take(MAX_CONTENTS).map(Content::to_string);
            let shown: Vec<String> = shown.collect();
            let reason = format!("it ran {}: {}", ran.len(), shown.join(" "));
            ("target-crashed", reason)
        }
        AuditEvent::Quarantined { content, origin } => {
            ("quarantined", format!("{content}, last told by {origin}"))
        }
        AuditEvent::ReleaseOrdered { content } => ("release-ordered", content.to_string()),
        AuditEvent::Released { content } => ("released", content.to_string()),
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
        ..named(event, origin)
    }
}

/// A record of something that came from somewhere.
fn named(event: &str, origin: &Origin) -> AuditRecord {
    AuditRecord {
        event: event.to_owned(),
        from: Some(origin.to_string()),
        ..AuditRecord::default()
    }
}

/// A record with its reason, which is cut if it is long.
fn because(record: AuditRecord, reason: &str) -> AuditRecord {
    AuditRecord {
        reason: Some(reason.chars().take(MAX_REASON_CHARS).collect()),
        ..record
    }
}
