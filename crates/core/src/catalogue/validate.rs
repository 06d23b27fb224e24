//! Full validation of a catalogue's text.

use super::Catalogue;
use super::PartialCatalogue;
use super::parse::read;
use crate::Error;
use crate::Faults;
use crate::Revision;
use crate::snapshot::check_across_entries;

/// Runs every check that a node runs before it applies a catalogue.
///
/// The catalogue gets revision 1, since the platform has not assigned one yet.
///
/// # Errors
///
/// Returns every fault within and across entries. Entries that can't be read
/// are assumed to exist, so that a route to one is not reported as another fault.
/// Faults across entries have no place.
pub fn validate(text: &str) -> Result<Catalogue, Faults> {
    let PartialCatalogue {
        items,
        faulty,
        mut faults,
    } = read(text);
    let first = Revision::new(1).map_err(single_fault)?;
    let catalogue = Catalogue::new(first, items).map_err(single_fault)?;
    faults.extend(check_across_entries(&catalogue, &faulty));
    faults.into_result(catalogue)
}

fn single_fault(err: Error) -> Faults {
    let mut faults = Faults::new();
    faults.add("", "", err.to_string());
    faults
}
