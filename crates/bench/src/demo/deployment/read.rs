//! Parses and checks a deployment's text.

use std::ops::RangeInclusive;
use std::time::Duration;

use sassafrasspool_core::DomainName;
use sassafrasspool_core::Faults;
use sassafrasspool_core::Place;
use sassafrasspool_core::RegionName;
use sassafrasspool_core::RoutePath;
use sassafrasspool_core::ServiceName;
use sassafrasspool_core::yaml;
use sassafrasspool_core::yaml::Scalar;
use sassafrasspool_core::yaml::Table;
use sassafrasspool_core::yaml::Tree;

use super::Call;
use super::Deployment;
use super::Domain;
use super::Workers;

/// Longest text, in bytes.
const MAX_BYTES: usize = 64 * 1024;
/// Bounds of the number of workers of one service; each is two processes.
const WORKERS: RangeInclusive<u64> = 1..=40;
/// Bounds of a worker's slots.
const SLOTS: RangeInclusive<u64> = 1..=1_000;
/// Bounds of a worker's connections.
const CONNECTIONS: RangeInclusive<u64> = 1..=10_000;
/// Bounds of a call's share.
const SHARE: RangeInclusive<u64> = 1..=1_000;
/// Bounds of a call's service time at the target, in milliseconds.
const SERVICE_MS: RangeInclusive<u64> = 0..=1_000;
/// Bounds of an answer's length, in bytes.
const ANSWER_BYTES: RangeInclusive<u64> = 0..=1_048_576;

const TOP: Place = Place { line: 1, column: 1 };

pub(super) fn read(text: &str) -> Result<Deployment, Faults> {
    let mut faults = Faults::new();
    if text.len() > MAX_BYTES {
        let reason = format!("has {} bytes, at most {MAX_BYTES}", text.len());
        faults.add("deployment", "", reason);
        return Err(faults);
    }
    let tree = yaml::parse(text)?;
    let mut found = Deployment {
        domains: Vec::new(),
        services: Vec::new(),
        calls: Vec::new(),
    };
    if let Some(mut top) = Table::open("", &tree, TOP, &mut faults) {
        read_regions(&mut top, &mut found.domains, &mut faults);
        read_services(&mut top, &mut found.services, &mut faults);
        read_calls(&mut top, &mut found.calls, &mut faults);
        top.finish(&mut faults);
    }
    // INVARIANT: Each reader adds a fault if it finds nothing.
    faults.into_result(found)
}

fn read_regions(top: &mut Table<'_>, found: &mut Vec<Domain>, faults: &mut Faults) {
    let place = top.place();
    let Some(mut regions) = top.table("regions", faults) else {
        faults.add_at(Some(place), "", "regions", "is missing");
        return;
    };
    let mut domain_count = 0;
    for field in regions.rest() {
        let region = ok_or_fault(RegionName::new(&field.key), field.place, faults);
        let Tree::List(domains) = &field.value.tree else {
            let reason = format!("must be a list, is {}", field.value.tree.describe());
            faults.add_at(Some(field.value.place), "regions", &field.key, reason);
            continue;
        };
        for placed in domains {
            domain_count += 1;
            let name = domain_of(&placed.tree, placed.place, faults);
            if let (Some(region), Some(name)) = (region.clone(), name) {
                found.push(Domain { region, name });
            }
        }
    }
    if domain_count == 0 {
        faults.add_at(Some(place), "regions", "", "names no failure domain");
    }
}

fn domain_of(tree: &Tree, place: Place, faults: &mut Faults) -> Option<DomainName> {
    let Tree::Scalar(Scalar::Text(name)) = tree else {
        let reason = format!("must be text, is {}", tree.describe());
        faults.add_at(Some(place), "regions", "", reason);
        return None;
    };
    ok_or_fault(DomainName::new(name), place, faults)
}

fn read_services(top: &mut Table<'_>, found: &mut Vec<Workers>, faults: &mut Faults) {
    let place = top.place();
    let Some(mut services) = top.table("services", faults) else {
        faults.add_at(Some(place), "", "services", "is missing");
        return;
    };
    let fields = services.rest();
    if fields.is_empty() {
        faults.add_at(Some(place), "services", "", "names no service");
    }
    for field in fields {
        let service = ok_or_fault(ServiceName::new(&field.key), field.place, faults);
        let table = Table::open(&*field.key, &field.value.tree, field.value.place, faults);
        let Some(mut table) = table else { continue };
        let workers = as_u32(table.number("workers", WORKERS, faults));
        let slots = as_u32(table.number("slots", SLOTS, faults));
        let connections = as_u32(table.number("connections", CONNECTIONS, faults));
        table.finish(faults);
        found.extend(workers_of(service, workers, slots, connections));
    }
}

fn workers_of(
    service: Option<ServiceName>,
    workers: Option<u32>,
    slots: Option<u32>,
    connections: Option<u32>,
) -> Option<Workers> {
    Some(Workers {
        service: service?,
        workers: workers?,
        slots: slots?,
        connections: connections?,
    })
}

fn read_calls(top: &mut Table<'_>, found: &mut Vec<Call>, faults: &mut Faults) {
    let place = top.place();
    let listed = top.list("requests", faults);
    if listed.is_empty() {
        faults.add_at(Some(place), "", "requests", "has no entry");
    }
    for (i, placed) in listed.iter().enumerate() {
        let entry = format!("requests[{i}]");
        if let Some(table) = Table::open(entry, &placed.tree, placed.place, faults) {
            found.extend(read_call(table, faults));
        }
    }
}

fn read_call(mut table: Table<'_>, faults: &mut Faults) -> Option<Call> {
    let path = table.text("path", faults, RoutePath::new);
    let share = as_u32(table.number("share", SHARE, faults));
    let service_ms = table.number("service_ms", SERVICE_MS, faults);
    let answer_bytes = table.number("answer_bytes", ANSWER_BYTES, faults);
    table.finish(faults);
    Some(Call {
        path: path?,
        share: share?,
        service_time: Duration::from_millis(service_ms?),
        answer_bytes: usize::try_from(answer_bytes?).ok()?,
    })
}

fn ok_or_fault<T>(
    name: sassafrasspool_core::Result<T>,
    place: Place,
    faults: &mut Faults,
) -> Option<T> {
    name.map_err(|err| faults.add_at(Some(place), "", "", err.to_string()))
        .ok()
}

fn as_u32(n: Option<u64>) -> Option<u32> {
    n.and_then(|n| u32::try_from(n).ok())
}
