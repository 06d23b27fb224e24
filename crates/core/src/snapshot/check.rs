//! Checks across the entries of a catalogue.

use std::collections::HashMap;

use crate::Catalogue;
use crate::CatalogueItem;
use crate::Faults;
use crate::HostName;
use crate::ItemKey;
use crate::KindName;
use crate::Route;
use crate::RoutePath;
use crate::ServiceEntry;
use crate::ServiceName;

/// The weights of the kinds that a catalogue declares.
#[derive(Debug, Default)]
pub(super) struct Weights<'a>(HashMap<&'a KindName, u32>);

impl Weights<'_> {
    /// The weight of a kind; 1 if the kind isn't declared.
    pub(super) fn of(&self, kind: &KindName) -> u32 {
        self.0.get(kind).copied().unwrap_or(1)
    }
}

/// Checks a whole catalogue and returns the weights of its kinds.
///
/// # Errors
///
/// Returns every fault.
pub(super) fn check(catalogue: &Catalogue) -> Result<Weights<'_>, Faults> {
    let mut weights = Weights::default();
    for item in catalogue.iter() {
        if let CatalogueItem::Kind(kind) = item {
            weights.0.insert(&kind.name, kind.weight);
        }
    }
    check_across_entries(catalogue, &[]).into_result(weights)
}

/// Every fault across the entries of a catalogue.
///
/// Entries in `faulty` are assumed to exist: their own faults are reported already, and
/// a reference to such an entry is not another fault.
pub(crate) fn check_across_entries(catalogue: &Catalogue, faulty: &[ItemKey]) -> Faults {
    let mut faults = Faults::new();
    let mut service_by_path = HashMap::new();
    let exists = |key: ItemKey| catalogue.get(&key).is_some() || faulty.contains(&key);
    for item in catalogue.iter() {
        if let CatalogueItem::Service(entry) = item {
            check_entry(&exists, entry, &mut service_by_path, &mut faults);
        }
    }
    faults
}

fn check_entry<'a>(
    exists: &impl Fn(ItemKey) -> bool,
    entry: &'a ServiceEntry,
    service_by_path: &mut HashMap<(Option<&'a HostName>, &'a RoutePath), &'a ServiceName>,
    faults: &mut Faults,
) {
    for (i, route) in entry.routes.iter().enumerate() {
        let place = format!("{}.routes[{i}]", entry.name);
        check_route(exists, &place, route, faults);
        if let Some(other) = service_by_path.insert((route.host.as_ref(), &route.path), &entry.name)
        {
            let reason = format!("{} is already taken by {other}", route.path);
            faults.add(&place, "path", reason);
        }
    }
}

fn check_route(exists: &impl Fn(ItemKey) -> bool, place: &str, route: &Route, faults: &mut Faults) {
    for service in route.services() {
        if !exists(ItemKey::Service(service.clone())) {
            let reason = format!("there is no service {service}");
            faults.add(place, "service", reason);
        }
    }
    if !exists(ItemKey::Kind(route.kind.clone())) {
        let reason = format!("there is no kind {}", route.kind);
        faults.add(place, "kind", reason);
    }
}
