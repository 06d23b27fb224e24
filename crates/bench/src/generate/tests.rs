use sassafrasspool_core::Catalogue;
use sassafrasspool_core::InstanceList;
use sassafrasspool_core::Revision;
use sassafrasspool_core::Snapshot;
use sassafrasspool_core::catalogue;

use super::GeneratedCatalogue;
use super::GeneratedFleet;
use super::Shape;

fn catalogue_at(revision: u64, text: &str) -> Catalogue {
    let items = catalogue::parse(text).unwrap();
    Catalogue::new(Revision::new(revision).unwrap(), items).unwrap()
}

#[test]
fn a_catalogue_of_the_design_size_binds() {
    let shape = Shape::design_size(1);
    let text = GeneratedCatalogue::new(shape).unwrap().text();
    assert!(text.len() <= catalogue::MAX_CATALOGUE_BYTES);
    let fleet = GeneratedFleet::new(shape).unwrap().into_instances();
    let list = InstanceList::new(Revision::new(1).unwrap(), fleet).unwrap();
    let snapshot = Snapshot::build(&catalogue_at(1, &text), &list).unwrap();
    assert_eq!(snapshot.services().count(), shape.services);
    let bound: usize = snapshot.services().map(|(_, s)| s.endpoints.len()).sum();
    assert_eq!(bound, shape.endpoints);
}

#[test]
fn a_change_affects_one_entry_and_is_reproducible() {
    let mut one = GeneratedCatalogue::new(Shape::design_size(7)).unwrap();
    let mut two = one.clone();
    let before = catalogue_at(1, &one.text());
    one.change_entry();
    two.change_entry();
    assert_eq!(one.text(), two.text());
    let delta = before.delta_to(&catalogue_at(2, &one.text()));
    assert_eq!((delta.put.len(), delta.remove.len()), (1, 0));
}

#[test]
fn a_bad_text_parses_but_does_not_bind() {
    let generated = GeneratedCatalogue::new(Shape::design_size(1)).unwrap();
    let list = InstanceList::new(Revision::new(1).unwrap(), Vec::new()).unwrap();
    let bad = catalogue_at(1, &generated.bad_text());
    assert!(Snapshot::build(&bad, &list).is_err());
}
