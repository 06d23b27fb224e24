//! Binds a catalogue's routes without any instance.

use sassafrasspool_core::Catalogue;
use sassafrasspool_core::CatalogueItem;
use sassafrasspool_core::Error;
use sassafrasspool_core::InstanceList;
use sassafrasspool_core::Result;
use sassafrasspool_core::Revision;
use sassafrasspool_core::Snapshot;
use sassafrasspool_core::Step;

/// Binds a catalogue to an empty instance list, to look up the routes of paths.
///
/// # Errors
///
/// Fails with all faults if the catalogue doesn't bind.
pub fn bind_routes(items: Vec<CatalogueItem>) -> Result<Snapshot> {
    let first = Revision::new(1)?;
    let catalogue = Catalogue::new(first, items)?;
    let no_instances = InstanceList::new(first, [])?;
    Snapshot::build(&catalogue, &no_instances)
        .map_err(|faults| Error::new(Step::Bind, faults.to_string()))
}
