//! YAML text of generated catalogues.

use std::fmt::Write;

use sassafrasspool_core::Kind;
use sassafrasspool_core::Route;
use sassafrasspool_core::ServiceEntry;

/// Renders a catalogue as YAML, in the form that operators publish.
pub fn render_catalogue(kinds: &[Kind], services: &[ServiceEntry]) -> String {
    let mut text = String::from("kinds:\n");
    for kind in kinds {
        push_line(
            &mut text,
            &format!("  {}: {{weight: {}}}", kind.name, kind.weight),
        );
    }
    push_line(&mut text, "services:");
    for service in services {
        render_service(&mut text, service);
    }
    text
}

fn render_service(text: &mut String, service: &ServiceEntry) {
    let limits = &service.limits;
    push_line(text, &format!("  {}:", service.name));
    push_line(text, &format!("    owner: {}", service.owner));
    push_line(text, &format!("    class: {}", service.class));
    push_line(text, "    limits:");
    push_line(text, &format!("      rate_per_s: {}", limits.rate_per_s));
    push_line(text, &format!("      concurrency: {}", limits.concurrency));
    let deadline_ms = limits.deadline.as_millis();
    push_line(text, &format!("      deadline_ms: {deadline_ms}"));
    let retry = limits.retry;
    push_line(
        text,
        &format!(
            "      retry: {{attempts: {}, budget_percent: {}, burst: {}}}",
            retry.attempts, retry.budget_percent, retry.burst
        ),
    );
    push_line(text, "    routes:");
    for route in &service.routes {
        render_route(text, route);
    }
}

fn render_route(text: &mut String, route: &Route) {
    push_line(text, &format!("      - path: {}", route.path));
    push_line(text, &format!("        kind: {}", route.kind));
    push_line(text, &format!("        service: {}", route.service));
    push_line(text, &format!("        class: {}", route.class));
    push_line(text, &format!("        idempotent: {}", route.idempotent));
}

fn push_line(text: &mut String, line: &str) {
    // Writing to a string can't fail.
    let _ = writeln!(text, "{line}");
}
