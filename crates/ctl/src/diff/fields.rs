//! The fields of an entry by their names in the catalogue's text. Routes are
//! identified by host and path, so that a route that only moves within the
//! list isn't a change.

use std::collections::BTreeMap;
use std::time::Duration;

use sassafrasspool_core::CallerLimits;
use sassafrasspool_core::CatalogueItem;
use sassafrasspool_core::Route;
use sassafrasspool_core::ServiceEntry;

/// Returns every field of an entry with its value.
pub(super) fn fields(item: &CatalogueItem) -> BTreeMap<String, String> {
    let mut found = BTreeMap::new();
    match item {
        CatalogueItem::Kind(kind) => {
            found.insert("weight".to_owned(), kind.weight.to_string());
        }
        CatalogueItem::Service(entry) => add_service(entry, &mut found),
        CatalogueItem::Callers(limits) => add_callers(limits, &mut found),
        CatalogueItem::Evacuation(evacuation) => {
            let since = evacuation.since.map(|since| since.to_string());
            let since = since.unwrap_or_else(|| "not told".to_owned());
            found.insert("since".to_owned(), since);
        }
        CatalogueItem::Edition(number) => {
            found.insert("number".to_owned(), number.to_string());
        }
    }
    found
}

fn add_callers(limits: &CallerLimits, found: &mut BTreeMap<String, String>) {
    let values = [
        ("head_bytes", limits.head_bytes.to_string()),
        ("body_bytes", limits.body_bytes.to_string()),
        (
            "head_timeout_ms",
            limits.head_timeout.as_millis().to_string(),
        ),
        (
            "idle_timeout_ms",
            limits.idle_timeout.as_millis().to_string(),
        ),
    ];
    found.extend(values.map(|(name, value)| (name.to_owned(), value)));
}

fn add_service(entry: &ServiceEntry, found: &mut BTreeMap<String, String>) {
    let limits = &entry.limits;
    let values = [
        ("owner", entry.owner.to_string()),
        ("class", entry.class.to_string()),
        ("limits.rate_per_s", limits.rate_per_s.to_string()),
        ("limits.concurrency", limits.concurrency.to_string()),
        (
            "limits.deadline_ms",
            limits.deadline.as_millis().to_string(),
        ),
        ("limits.retry.attempts", limits.retry.attempts.to_string()),
        (
            "limits.retry.budget_percent",
            limits.retry.budget_percent.to_string(),
        ),
        ("limits.retry.burst", limits.retry.burst.to_string()),
    ];
    found.extend(values.map(|(name, value)| (name.to_owned(), value)));
    if let Some(cold) = &entry.cold_start {
        let lasts = cold.duration.as_millis().to_string();
        found.insert("cold_start.lasts_ms".to_owned(), lasts);
        found.insert("cold_start.per_s".to_owned(), cold.per_s.to_string());
        if let Some(path) = &cold.probe_path {
            found.insert("cold_start.probe_path".to_owned(), path.clone());
        }
    }
    for route in &entry.routes {
        add_route(route, found);
    }
}

fn add_route(route: &Route, found: &mut BTreeMap<String, String>) {
    let mut values = vec![
        ("service", route.service.to_string()),
        ("kind", route.kind.to_string()),
        ("class", route.class.to_string()),
        ("idempotent", route.idempotent.to_string()),
    ];
    let millis = |time: Duration| time.as_millis().to_string();
    let optional = [
        ("timeout_ms", route.timeout.map(millis)),
        ("latency_target_ms", route.latency_target.map(millis)),
        ("attempts", route.attempts.map(|n| n.to_string())),
    ];
    values.extend(
        optional
            .into_iter()
            .filter_map(|(name, value)| Some((name, value?))),
    );
    let shares = route.split.iter();
    let shares: Vec<String> = shares
        .map(|it| format!("{} {}", it.service, it.weight))
        .collect();
    if !route.homes.is_unrestricted() {
        let homes = route.homes.regions().iter().map(ToString::to_string);
        values.push(("homes", homes.collect::<Vec<String>>().join(", ")));
    }
    if !shares.is_empty() {
        values.push(("split", shares.join(", ")));
    }
    let path = match &route.host {
        Some(host) => format!("{host}{}", route.path),
        None => route.path.to_string(),
    };
    let named = values.into_iter();
    found.extend(named.map(|(name, value)| (format!("routes[{path}].{name}"), value)));
}
