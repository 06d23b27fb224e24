//! What must hold across the entries of a catalogue.

use std::collections::HashMap;

use crate::Catalogue;
use crate::CatalogueItem;
use crate::Faults;
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
    let mut faults = Faults::new();
    let mut taken = HashMap::new();
    for item in catalogue.iter() {
        match item {
            CatalogueItem::Kind(kind) => {
                weights.0.insert(&kind.name, kind.weight);
            }
            CatalogueItem::Service(entry) => {
                check_entry(catalogue, entry, &mut taken, &mut faults);
            }
        }
    }
    faults.into_result(weights)
}

fn check_entry<'a>(
    catalogue: &Catalogue,
    entry: &'a ServiceEntry,
    taken: &mut HashMap<&'a RoutePath, &'a ServiceName>,
    faults: &mut Faults,
) {
    for (i, route) in entry.routes.iter().enumerate() {
        let place = format!("{}.routes[{i}]", entry.name);
        check_route(catalogue, &place, route, faults);
        if let Some(other) = taken.insert(&route.path, &entry.name) {
            let reason = format!("{} is already taken by {other}", route.path);
            faults.add(&place, "path", reason);
        }
    }
}

fn check_route(catalogue: &Catalogue, place: &str, route: &Route, faults: &mut Faults) {
    if catalogue
        .get(&ItemKey::Service(route.service.clone()))
        .is_none()
    {
        let reason = format!("there is no service {}", route.service);
        faults.add(place, "service", reason);
    }
    if catalogue.get(&ItemKey::Kind(route.kind.clone())).is_none() {
        let reason = format!("there is no kind {}", route.kind);
        faults.add(place, "kind", reason);
    }
}
