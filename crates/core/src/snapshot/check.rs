//! What must hold across the entries of a catalogue.

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
    /// The weight of a kind; one if it isn't declared.
    pub(super) fn of(&self, kind: &KindName) -> u32 {
        self.0.get(kind).copied().unwrap_or(1)
    }
}

/// Checks a whole catalogue and returns its weights.
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
/// What stands in `faulty` is taken to be there: it has faults of its own, and
/// that others name it is not one more.
pub(crate) fn check_across_entries(catalogue: &Catalogue, faulty: &[ItemKey]) -> Faults {
    let mut faults = Faults::new();
    let mut taken = HashMap::new();
    let known = |key: ItemKey| catalogue.get(&key).is_some() || faulty.contains(&key);
    for item in catalogue.iter() {
        if let CatalogueItem::Service(entry) = item {
            check_entry(&known, entry, &mut taken, &mut faults);
        }
    }
    faults
}

fn check_entry<'a>(
    known: &impl Fn(ItemKey) -> bool,
    entry: &'a ServiceEntry,
    taken: &mut HashMap<(Option<&'a HostName>, &'a RoutePath), &'a ServiceName>,
    faults: &mut Faults,
) {
    for (i, route) in entry.routes.iter().enumerate() {
        let place = format!("{}.routes[{i}]", entry.name);
        check_route(known, &place, route, faults);
        if let Some(other) = taken.insert((route.host.as_ref(), &route.path), &entry.name) {
            let reason = format!("{} is already taken by {other}", route.path);
            faults.add(&place, "path", reason);
        }
    }
}

fn check_route(known: &impl Fn(ItemKey) -> bool, place: &str, route: &Route, faults: &mut Faults) {
    for service in route.services() {
        if !known(ItemKey::Service(service.clone())) {
            let reason = format!("there is no service {service}");
            faults.add(place, "service", reason);
        }
    }
    if !known(ItemKey::Kind(route.kind.clone())) {
        let reason = format!("there is no kind {}", route.kind);
        faults.add(place, "kind", reason);
    }
}
