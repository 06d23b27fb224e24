//! Validation of a catalogue.

use crate::Catalogue;
use crate::Document;
use crate::Faults;
use crate::InstanceList;
use crate::Item;
use crate::Snapshot;

/// Validates a catalogue. The result depends on nothing but the content, so
/// that all nodes reach the same result, with or without an instance list.
pub(super) fn validate(
    offered: &Catalogue,
    instances: Option<&InstanceList>,
) -> Result<Option<Snapshot>, Faults> {
    match instances {
        Some(instances) => Snapshot::build(offered, instances).map(Some),
        None => Snapshot::build(offered, &empty_list(offered)).map(|_| None),
    }
}

fn empty_list<T: Item>(like: &Document<T>) -> InstanceList {
    let empty = InstanceList::new(like.version().revision(), []);
    empty.expect("a list without instances has no duplicate key")
}
