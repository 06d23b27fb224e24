//! Changes that an operator makes to the catalogue.

use sassafrasspool_core::CatalogueItem;
use sassafrasspool_core::Error;
use sassafrasspool_core::Kind;
use sassafrasspool_core::Result;
use sassafrasspool_core::RoutePath;
use sassafrasspool_core::ServiceEntry;
use sassafrasspool_core::ServiceName;
use sassafrasspool_core::Step;
use sassafrasspool_core::catalogue;

use crate::generate::render;

#[cfg(test)]
mod tests;

/// The operators' working copy of the catalogue.
///
/// # Invariants
///
/// Has a service with a route.
#[derive(Debug, Clone)]
pub(super) struct WorkingCopy {
    kinds: Vec<Kind>,
    services: Vec<ServiceEntry>,
    changes: u32,
}

impl WorkingCopy {
    /// Begins with a catalogue's items.
    ///
    /// # Errors
    ///
    /// Fails if no service has a route.
    pub(super) fn new(items: Vec<CatalogueItem>) -> Result<WorkingCopy> {
        let mut kinds = Vec::new();
        let mut services = Vec::new();
        for item in items {
            match item {
                CatalogueItem::Kind(kind) => kinds.push(kind),
                CatalogueItem::Service(entry) => services.push(entry),
                // The examples have neither.
                CatalogueItem::Callers(_) | CatalogueItem::Evacuation(_) => {}
            }
        }
        let routed = |entry: &ServiceEntry| !entry.routes.is_empty();
        if !services.iter().any(routed) {
            return Err(Error::new(Step::Check, "the catalogue has no route"));
        }
        // INVARIANT: A service with a route was just found.
        Ok(WorkingCopy {
            kinds,
            services,
            changes: 0,
        })
    }

    /// The text as it stands.
    pub(super) fn text(&self) -> String {
        render(&self.kinds, &self.services)
    }

    /// Makes an ordinary change: another limit for one entry after the other.
    pub(super) fn change(&mut self) -> String {
        let at = self.changes as usize % self.services.len();
        self.changes += 1;
        self.services[at].limits.rate_per_s += 1;
        self.text()
    }

    /// A change that forgets something: a service is taken out, but one of
    /// another entry's routes still leads to it. The working copy stays as it
    /// was.
    ///
    /// # Errors
    ///
    /// Fails if the name of the service is refused.
    pub(super) fn forgetful_change(&self) -> Result<String> {
        let mut bad = self.clone();
        let gone = ServiceName::new("retired-desk")?;
        let entry = bad
            .services
            .iter_mut()
            .find(|entry| !entry.routes.is_empty());
        if let Some(entry) = entry {
            let mut route = entry.routes[0].clone();
            route.path = RoutePath::new("/retired")?;
            route.service = gone;
            entry.routes.push(route);
        }
        Ok(bad.text())
    }
}

/// The items of a text that was rendered here.
///
/// # Errors
///
/// Fails with every fault.
pub(super) fn items(text: &str) -> Result<Vec<CatalogueItem>> {
    catalogue::parse(text).map_err(|faults| Error::new(Step::Parse, faults.to_string()))
}
