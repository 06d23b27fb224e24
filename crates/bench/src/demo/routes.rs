//! What a catalogue's routes say of a path, without any instance.

use sassafrasspool_core::Catalogue;
use sassafrasspool_core::CatalogueItem;
use sassafrasspool_core::Error;
use sassafrasspool_core::InstanceList;
use sassafrasspool_core::Result;
use sassafrasspool_core::Revision;
use sassafrasspool_core::Snapshot;
use sassafrasspool_core::Step;

/// Binds a catalogue to an empty instance list.
///
/// # Errors
///
/// Fails with every fault if it doesn't bind.
pub fn routes(items: Vec<CatalogueItem>) -> Result<Snapshot> {
    let first = Revision::new(1)?;
    let held = Catalogue::new(first, items)?;
    let nobody = InstanceList::new(first, [])?;
    Snapshot::build(&held, &nobody).map_err(|faults| Error::new(Step::Bind, faults.to_string()))
}
