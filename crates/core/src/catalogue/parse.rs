//! Parsing of a catalogue's text, which reports every fault at once.

use std::time::Duration;

use super::MAX_CATALOGUE_BYTES;
use super::PartialCatalogue;
use crate::CallerLimits;
use crate::CatalogueItem;
use crate::Class;
use crate::ColdStart;
use crate::DomainName;
use crate::Evacuation;
use crate::Faults;
use crate::Homes;
use crate::HostName;
use crate::ItemKey;
use crate::Kind;
use crate::KindName;
use crate::Limits;
use crate::OwnerName;
use crate::Place;
use crate::RegionName;
use crate::RetryLimits;
use crate::Route;
use crate::RoutePath;
use crate::ServiceEntry;
use crate::ServiceName;
use crate::Share;
use crate::yaml;
use crate::yaml::Field;
use crate::yaml::Scalar;
use crate::yaml::Table;
use crate::yaml::Tree;

/// Bounds of a kind's weight.
const KIND_WEIGHT_RANGE: std::ops::RangeInclusive<u64> = 1..=1_000;
/// Bounds of a service's rate, in requests per second.
const RATE_PER_S_RANGE: std::ops::RangeInclusive<u64> = 1..=1_000_000;
/// Bounds of a service's concurrency, in requests.
const CONCURRENCY_RANGE: std::ops::RangeInclusive<u64> = 1..=10_000;
/// Bounds of deadlines and timeouts, in milliseconds.
const DEADLINE_MS_RANGE: std::ops::RangeInclusive<u64> = 1..=600_000;
/// Bounds of the number of attempts.
const ATTEMPTS_RANGE: std::ops::RangeInclusive<u64> = 1..=5;
/// Bounds of the number of accumulated retries.
const RETRY_BURST_RANGE: std::ops::RangeInclusive<u64> = 1..=100;
/// Bounds of the weight of a share in a split.
const SHARE_WEIGHT_RANGE: std::ops::RangeInclusive<u64> = 1..=10_000;
/// Bounds of the size of a request's head, in bytes. The lower bound is what
/// libraries need for their buffers.
const HEAD_BYTES_RANGE: std::ops::RangeInclusive<u64> = 8_192..=1_048_576;
/// Bounds of the size of a request's body, in bytes.
const BODY_BYTES_RANGE: std::ops::RangeInclusive<u64> = 0..=1_099_511_627_776;
/// Bounds of the operators' number of a catalogue.
const EDITION_RANGE: std::ops::RangeInclusive<u64> = 0..=u64::MAX;
/// Bounds of how long a target stays cold, in milliseconds.
const COLD_MS_RANGE: std::ops::RangeInclusive<u64> = 1..=600_000;
/// Bounds of the retry budget, in percent of first attempts.
const BUDGET_PERCENT_RANGE: std::ops::RangeInclusive<u64> = 0..=100;

const DOCUMENT_START: Place = Place { line: 1, column: 1 };

/// Reads a catalogue's items from its text.
///
/// Rules across entries, such as that a route's service exists, are checked when
/// the catalogue is bound to a snapshot, since a catalogue that was received as a
/// delta has no text.
///
/// # Errors
///
/// Returns every fault with its place: an unknown or missing field, a value
/// out of range, an invalid name, or a text over 1 MiB.
pub fn parse(text: &str) -> Result<Vec<CatalogueItem>, Faults> {
    let PartialCatalogue { items, faults, .. } = read(text);
    faults.into_result(items)
}

/// Reads the valid entries of a catalogue and the faults of the others.
///
/// The result must not be applied. It serves to report faults across entries
/// together with those within entries.
pub(super) fn read(text: &str) -> PartialCatalogue {
    let mut partial = PartialCatalogue::default();
    if text.len() > MAX_CATALOGUE_BYTES {
        let reason = format!("has {} bytes, at most {MAX_CATALOGUE_BYTES}", text.len());
        partial.faults.add("catalogue", "", reason);
        return partial;
    }
    let tree = match yaml::parse(text) {
        Ok(tree) => tree,
        Err(faults) => {
            partial.faults = faults;
            return partial;
        }
    };
    if let Some(mut top) = Table::open("", &tree, DOCUMENT_START, &mut partial.faults) {
        if let Some(callers) = top.table("callers", &mut partial.faults) {
            let mut faults = Faults::new();
            let item = read_callers(callers, &mut faults).map(CatalogueItem::Callers);
            partial.add_entry(Some(ItemKey::Callers), item, faults);
        }
        if let Some(mut kinds) = top.table("kinds", &mut partial.faults) {
            read_kinds(&mut kinds, &mut partial);
        }
        if let Some(mut services) = top.table("services", &mut partial.faults) {
            read_services(&mut services, &mut partial);
        }
        read_evacuations(&mut top, &mut partial);
        let mut faults = Faults::new();
        let edition = top.optional_number("edition", EDITION_RANGE, &mut faults);
        let item = edition.map(CatalogueItem::Edition);
        partial.add_entry(Some(ItemKey::Edition), item, faults);
        top.finish(&mut partial.faults);
    }
    partial
}

/// Reads the list of names of evacuated failure domains.
fn read_evacuations(top: &mut Table<'_>, partial: &mut PartialCatalogue) {
    for placed in top.list("evacuated", &mut partial.faults) {
        let mut faults = Faults::new();
        let domain = match list_name(&placed.tree, "a failure domain", DomainName::new) {
            Ok(domain) => Some(domain),
            Err(reason) => {
                faults.add_at(Some(placed.place), "", "evacuated", reason);
                None
            }
        };
        let key = domain.clone().map(ItemKey::Evacuation);
        let item = domain.map(|domain| {
            CatalogueItem::Evacuation(Evacuation {
                domain,
                since: None,
            })
        });
        partial.add_entry(key, item, faults);
    }
}

fn read_kinds(kinds: &mut Table<'_>, partial: &mut PartialCatalogue) {
    for field in kinds.rest() {
        let mut faults = Faults::new();
        let name = valid_name(KindName::new(&field.key), field.place, &mut faults);
        let kind = read_kind(name.clone(), field, &mut faults);
        let key = name.map(ItemKey::Kind);
        partial.add_entry(key, kind.map(CatalogueItem::Kind), faults);
    }
}

fn read_kind(name: Option<KindName>, field: &Field, faults: &mut Faults) -> Option<Kind> {
    let entry = format!("kind {}", field.key);
    let mut table = Table::open(entry, &field.value.tree, field.value.place, faults)?;
    let weight = to_u32(table.number("weight", KIND_WEIGHT_RANGE, faults));
    table.finish(faults);
    Some(Kind {
        name: name?,
        weight: weight?,
    })
}

fn read_services(services: &mut Table<'_>, partial: &mut PartialCatalogue) {
    for field in services.rest() {
        let mut faults = Faults::new();
        let name = valid_name(ServiceName::new(&field.key), field.place, &mut faults);
        let place = field.value.place;
        let table = Table::open(&*field.key, &field.value.tree, place, &mut faults);
        let entry = table.and_then(|table| read_service(name.clone(), table, &mut faults));
        let key = name.map(ItemKey::Service);
        partial.add_entry(key, entry.map(CatalogueItem::Service), faults);
    }
}

fn read_service(
    name: Option<ServiceName>,
    mut table: Table<'_>,
    faults: &mut Faults,
) -> Option<ServiceEntry> {
    let owner = table.text("owner", faults, OwnerName::new);
    let class = table.text("class", faults, parse_class);
    let limits = table
        .required_table("limits", faults)
        .and_then(|limits| read_limits(limits, faults));
    let cold_start = match table.table("cold_start", faults) {
        Some(table) => read_cold_start(table, faults).map(Some),
        None => Some(None),
    };
    let mut routes = Vec::new();
    for (i, placed) in table.list("routes", faults).iter().enumerate() {
        let entry = format!("{}.routes[{i}]", table.entry());
        let Some(route) = Table::open(entry, &placed.tree, placed.place, faults) else {
            continue;
        };
        routes.extend(read_route(name.as_ref(), class, route, faults));
    }
    table.finish(faults);
    Some(ServiceEntry {
        name: name?,
        owner: owner?,
        class: class?,
        limits: limits?,
        cold_start: cold_start?,
        routes,
    })
}

fn read_cold_start(mut table: Table<'_>, faults: &mut Faults) -> Option<ColdStart> {
    let lasts = table.number("lasts_ms", COLD_MS_RANGE, faults);
    let per_s = to_u32(table.number("per_s", RATE_PER_S_RANGE, faults));
    let probe_path = table.optional_text("probe_path", faults, parse_probe_path);
    table.finish(faults);
    Some(ColdStart {
        duration: Duration::from_millis(lasts?),
        per_s: per_s?,
        probe_path,
    })
}

fn read_limits(mut table: Table<'_>, faults: &mut Faults) -> Option<Limits> {
    let rate_per_s = to_u32(table.number("rate_per_s", RATE_PER_S_RANGE, faults));
    let concurrency = to_u32(table.number("concurrency", CONCURRENCY_RANGE, faults));
    let deadline = table.number("deadline_ms", DEADLINE_MS_RANGE, faults);
    let retry = match table.table("retry", faults) {
        Some(retry) => read_retry(retry, faults),
        None => Some(RetryLimits::default()),
    };
    table.finish(faults);
    Some(Limits {
        rate_per_s: rate_per_s?,
        concurrency: concurrency?,
        deadline: Duration::from_millis(deadline?),
        retry: retry?,
    })
}

fn read_retry(mut table: Table<'_>, faults: &mut Faults) -> Option<RetryLimits> {
    let default = RetryLimits::default();
    let attempts = table.number_or("attempts", ATTEMPTS_RANGE, default.attempts.into(), faults);
    let budget = table.number_or(
        "budget_percent",
        BUDGET_PERCENT_RANGE,
        default.budget_percent.into(),
        faults,
    );
    let burst = table.number_or("burst", RETRY_BURST_RANGE, default.burst.into(), faults);
    table.finish(faults);
    Some(RetryLimits {
        burst: to_u32(burst)?,
        attempts: to_u32(attempts)?,
        budget_percent: to_u32(budget)?,
    })
}

fn read_route(
    owner: Option<&ServiceName>,
    default_class: Option<Class>,
    mut table: Table<'_>,
    faults: &mut Faults,
) -> Option<Route> {
    let path = table.text("path", faults, RoutePath::new);
    let kind = table.text("kind", faults, KindName::new);
    let service = table.optional_text("service", faults, ServiceName::new);
    let class = table.optional_text("class", faults, parse_class);
    let idempotent = table.flag_or("idempotent", false, faults);
    let host = table.optional_text("host", faults, HostName::new);
    let timeout = optional_number(&mut table, "timeout_ms", DEADLINE_MS_RANGE, faults);
    let latency = optional_number(&mut table, "latency_target_ms", DEADLINE_MS_RANGE, faults);
    let attempts = optional_number(&mut table, "attempts", ATTEMPTS_RANGE, faults);
    let large_answers = table.flag_or("large_answers", false, faults);
    let homes = read_homes(&mut table, faults);
    let split = read_split(&mut table, faults);
    if service.is_some() && !split.is_empty() {
        faults.add_at(
            Some(table.place()),
            table.entry(),
            "split",
            "cannot be combined with a service",
        );
    }
    table.finish(faults);
    let first = split.first().map(|share| share.service.clone());
    Some(Route {
        host,
        path: path?,
        service: first.or(service).or_else(|| owner.cloned())?,
        split,
        kind: kind?,
        class: class.or(default_class)?,
        idempotent: idempotent?,
        timeout: timeout.map(Duration::from_millis),
        latency_target: latency.map(Duration::from_millis),
        homes,
        attempts: to_u32(attempts),
        large_answers: large_answers?,
    })
}

fn read_homes(table: &mut Table<'_>, faults: &mut Faults) -> Homes {
    let mut regions = Vec::new();
    for placed in table.list("homes", faults) {
        match list_name(&placed.tree, "a region", RegionName::new) {
            Ok(region) => regions.push(region),
            Err(reason) => faults.add_at(Some(placed.place), table.entry(), "homes", reason),
        }
    }
    Homes::new(regions)
}

fn read_split(table: &mut Table<'_>, faults: &mut Faults) -> Vec<Share> {
    let mut split = Vec::new();
    for (i, placed) in table.list("split", faults).iter().enumerate() {
        let entry = format!("{}.split[{i}]", table.entry());
        let Some(mut share) = Table::open(entry, &placed.tree, placed.place, faults) else {
            continue;
        };
        let service = share.text("service", faults, ServiceName::new);
        let weight = to_u32(share.number("weight", SHARE_WEIGHT_RANGE, faults));
        share.finish(faults);
        if let (Some(service), Some(weight)) = (service, weight) {
            split.push(Share { service, weight });
        }
    }
    split
}

fn read_callers(mut table: Table<'_>, faults: &mut Faults) -> Option<CallerLimits> {
    let default = CallerLimits::default();
    let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    let head = table.number_or(
        "head_bytes",
        HEAD_BYTES_RANGE,
        default.head_bytes.into(),
        faults,
    );
    let body = table.number_or("body_bytes", BODY_BYTES_RANGE, default.body_bytes, faults);
    let head_ms = millis(default.head_timeout);
    let head_ms = table.number_or("head_timeout_ms", DEADLINE_MS_RANGE, head_ms, faults);
    let idle_ms = millis(default.idle_timeout);
    let idle_ms = table.number_or("idle_timeout_ms", DEADLINE_MS_RANGE, idle_ms, faults);
    table.finish(faults);
    Some(CallerLimits {
        head_bytes: to_u32(head)?,
        body_bytes: body?,
        head_timeout: Duration::from_millis(head_ms?),
        idle_timeout: Duration::from_millis(idle_ms?),
    })
}

/// Reads a number that may be missing.
fn optional_number(
    table: &mut Table<'_>,
    key: &str,
    range: std::ops::RangeInclusive<u64>,
    faults: &mut Faults,
) -> Option<u64> {
    // Every range that is used here begins above zero, so zero stands for a missing field.
    let n = table.number_or(key, range, 0, faults)?;
    (n > 0).then_some(n)
}

/// The name of `what` in an element of a list.
fn list_name<T>(tree: &Tree, what: &str, new: fn(&str) -> crate::Result<T>) -> Result<T, String> {
    match tree {
        Tree::Scalar(Scalar::Text(name)) => new(name).map_err(|err| err.to_string()),
        _ => Err(format!("must be the name of {what}")),
    }
}

fn parse_probe_path(path: &str) -> Result<String, String> {
    match path.starts_with('/') {
        true => Ok(path.to_owned()),
        false => Err(format!("must begin with a slash, is {path:?}")),
    }
}

fn parse_class(name: &str) -> Result<Class, String> {
    let known = "critical, standard or background";
    Class::from_name(name).ok_or_else(|| format!("must be {known}, is {name:?}"))
}

fn valid_name<T>(name: crate::Result<T>, place: Place, faults: &mut Faults) -> Option<T> {
    match name {
        Ok(name) => Some(name),
        Err(err) => {
            faults.add_at(Some(place), "", "", err.to_string());
            None
        }
    }
}

fn to_u32(n: Option<u64>) -> Option<u32> {
    n.and_then(|n| u32::try_from(n).ok())
}
