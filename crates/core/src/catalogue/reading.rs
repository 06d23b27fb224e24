//! What can be read of a text that may have faults.

use crate::CatalogueItem;
use crate::Faults;
use crate::ItemKey;

/// A catalogue's text as far as it can be read.
///
/// # Invariants
///
/// An item is only in `items` if nothing about it is faulty.
#[derive(Debug, Default)]
pub(super) struct Reading {
    /// The items without a fault of their own.
    pub(super) items: Vec<CatalogueItem>,
    /// The names of the others, as far as those are names.
    pub(super) unread: Vec<ItemKey>,
    /// Every fault within the text's entries.
    pub(super) faults: Faults,
}

impl Reading {
    /// Takes in one entry with what was found wrong with it.
    pub(super) fn take(
        &mut self,
        key: Option<ItemKey>,
        item: Option<CatalogueItem>,
        faults: Faults,
    ) {
        // INVARIANT: An entry with a fault is left out of the items.
        match item {
            Some(item) if faults.is_empty() => self.items.push(item),
            _ => self.unread.extend(key),
        }
        self.faults.extend(faults);
    }
}
