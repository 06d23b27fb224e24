//! Catalogue of the fleet in a chaos run.

use sassafrasspool_core::Class;

use crate::load::CallKind;
use crate::load::Keys;

/// The services, assigned to the instances round-robin.
pub const SERVICES: [&str; 2] = ["workshop-desk", "adjuster-desk"];

/// The kinds of calls in the load.
pub const KINDS: [CallKind; 4] = [
    CallKind {
        name: "approval",
        path: "/adjuster/approvals",
        class: Class::Critical,
        weight: 10,
        idempotent: false,
        keys: Keys::All,
        share: 2,
        answer_bytes: 2_000,
        request_bytes: 4_000,
    },
    CallKind {
        name: "claim",
        path: "/workshop/claims",
        class: Class::Standard,
        weight: 5,
        idempotent: false,
        keys: Keys::Half,
        share: 3,
        answer_bytes: 2_000,
        request_bytes: 20_000,
    },
    CallKind {
        name: "lookup",
        path: "/workshop/policies",
        class: Class::Standard,
        weight: 1,
        idempotent: true,
        keys: Keys::None,
        share: 4,
        answer_bytes: 8_000,
        request_bytes: 0,
    },
    CallKind {
        name: "archive",
        path: "/adjuster/archive",
        class: Class::Background,
        weight: 1,
        idempotent: true,
        keys: Keys::None,
        share: 1,
        answer_bytes: 300_000,
        request_bytes: 0,
    },
];

/// The service that serves a kind's requests, as an index into [`SERVICES`].
pub fn service_of(kind: &CallKind) -> usize {
    usize::from(kind.path.starts_with("/adjuster"))
}

/// The text of the catalogue after `change` changes; each change raises the
/// rate limits by one.
pub fn text(change: u64) -> String {
    text_with_service_line(change, "")
}

/// The same text as [`text`], with `line` added to each service unless it is
/// empty.
pub fn text_with_service_line(change: u64, line: &str) -> String {
    let mut text = String::from("kinds:\n");
    for kind in &KINDS {
        let CallKind { name, weight, .. } = kind;
        text += &format!("  {name}: {{weight: {weight}}}\n");
    }
    text += "services:\n";
    for (i, service) in SERVICES.iter().enumerate() {
        let rate = 5_000 + change;
        text += &format!("  {service}:\n    owner: team-{i}\n    class: standard\n");
        text +=
            &format!("    limits: {{rate_per_s: {rate}, concurrency: 50, deadline_ms: 2000}}\n");
        if !line.is_empty() {
            text += &format!("    {line}\n");
        }
        text += "    routes:\n";
        for kind in KINDS.iter().filter(|kind| service_of(kind) == i) {
            text += &route(kind);
        }
    }
    text
}

/// A text with a route to a service that doesn't exist.
pub fn bad_text(change: u64) -> String {
    text(change) + "      - {path: /gone, kind: lookup, service: gone-desk}\n"
}

fn route(kind: &CallKind) -> String {
    let CallKind {
        name,
        path,
        class,
        idempotent,
        ..
    } = kind;
    format!("      - {{path: {path}, kind: {name}, class: {class}, idempotent: {idempotent}}}\n")
}
