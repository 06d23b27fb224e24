//! Telling an operator everything that is wrong with a text.

use super::Catalogue;
use super::Reading;
use super::parse::read;
use crate::Error;
use crate::Faults;
use crate::Revision;
use crate::snapshot::check_across;

/// Judges a text by all that a node checks before it applies it.
///
/// The catalogue gets the first revision, since the platform gave it none yet.
///
/// # Errors
///
/// Returns every fault within and across entries. Entries that can't be read
/// are taken to be there, so that a route to one isn't a fault of its own.
/// Faults across entries have no place.
pub fn review(text: &str) -> Result<Catalogue, Faults> {
    let Reading {
        items,
        unread,
        mut faults,
    } = read(text);
    let first = Revision::new(1).map_err(single_fault)?;
    let held = Catalogue::new(first, items).map_err(single_fault)?;
    faults.extend(check_across(&held, &unread));
    faults.into_result(held)
}

fn single_fault(err: Error) -> Faults {
    let mut faults = Faults::new();
    faults.add("", "", err.to_string());
    faults
}
