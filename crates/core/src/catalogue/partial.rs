//! The readable part of a catalogue's text that may have faults.

use crate::CatalogueItem;
use crate::Faults;
use crate::ItemKey;

/// The valid items of a catalogue's text, and the faults of the rest.
///
/// # Invariants
///
/// An item is in `items` only if it has no fault.
#[derive(Debug, Default)]
pub(super) struct PartialCatalogue {
    /// The items without a fault.
    pub(super) items: Vec<CatalogueItem>,
    /// The keys of the other entries whose names are valid.
    pub(super) faulty: Vec<ItemKey>,
    /// Every fault within the entries of the text.
    pub(super) faults: Faults,
}

impl PartialCatalogue {
    /// Adds one entry with its faults.
    pub(super) fn add_entry(
        &mut self,
        key: Option<ItemKey>,
        item: Option<CatalogueItem>,
        faults: Faults,
    ) {
        // INVARIANT: An entry with a fault is not added to the items.
        match item {
            Some(item) if faults.is_empty() => self.items.push(item),
            _ => self.faulty.extend(key),
        }
        self.faults.extend(faults);
    }
}
