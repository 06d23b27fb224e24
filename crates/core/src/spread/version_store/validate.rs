//! Whether a catalogue is good.

use crate::Catalogue;
use crate::Document;
use crate::Faults;
use crate::InstanceList;
use crate::Item;
use crate::Snapshot;

/// Judges a catalogue. Whether it is good depends on nothing but its content,
/// so that every node judges the same, with or without an instance list.
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
    empty.expect("a list without instances has no key that stands twice")
}
