use proptest::prelude::*;

use crate::CatalogueItem;
use crate::Document;
use crate::Kind;
use crate::KindName;
use crate::Revision;

fn document(revision: u64, weights: &[u32]) -> Document<CatalogueItem> {
    let kind = |(i, &weight): (usize, &u32)| {
        let name = KindName::new(&format!("k{i}")).unwrap();
        CatalogueItem::Kind(Kind { name, weight })
    };
    let kept = weights
        .iter()
        .enumerate()
        .filter(|(_, weight)| **weight > 0);
    Document::new(Revision::new(revision).unwrap(), kept.map(kind)).unwrap()
}

proptest! {
    // Guards against a delta whose result differs from the whole document.
    #[test]
    fn applying_a_delta_yields_the_whole_newer_document(
        old in proptest::collection::vec(0u32..4, 0..12),
        new in proptest::collection::vec(0u32..4, 0..12),
    ) {
        let old = document(1, &old);
        let new = document(2, &new);
        let applied = old.apply(&old.delta_to(&new)).unwrap();
        prop_assert_eq!(applied.version(), new.version());
        prop_assert!(applied.iter().eq(new.iter()));
    }
}

/// Guards against a mixture of two versions after a delta that arrives late.
#[test]
fn a_delta_with_another_base_is_rejected() {
    let first = document(1, &[1, 2]);
    let second = document(2, &[1, 3]);
    let third = document(3, &[1, 3, 4]);
    let late = first.delta_to(&third);
    assert!(second.apply(&late).is_err());
}

/// Guards against applying a delta that lost an item in transit.
#[test]
fn a_damaged_delta_is_rejected() {
    let old = document(1, &[1, 2]);
    let mut delta = old.delta_to(&document(2, &[3, 4]));
    delta.put.pop();
    assert!(old.apply(&delta).is_err());
}
