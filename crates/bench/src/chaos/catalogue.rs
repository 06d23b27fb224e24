//! The catalogue of the fleet in a chaos run.

use sassafrasspool_core::Class;

use crate::load::CallKind;
use crate::load::Keys;

/// The services that the instances belong to, in turn.
pub const SERVICES: [&str; 2] = ["workshop-desk", "adjuster-desk"];

/// What callers ask for.
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

/// The service that a kind's requests belong to: an index into [`SERVICES`].
pub fn service_of(kind: &CallKind) -> usize {
    usize::from(kind.path.starts_with("/adjuster"))
}

/// The `change`th text of the catalogue, which differs in a limit.
pub fn text(change: u64) -> String {
    text_with(change, "")
}

/// The same with one more line for each service, or none if it is empty.
pub fn text_with(change: u64, line: &str) -> String {
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

/// A text with a route to a service that isn't there.
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
