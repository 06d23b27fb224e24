use super::WorkingCopy;
use super::items;
use crate::demo::routes;

const TEXT: &str = "
kinds: {review: {weight: 2}}
services:
  desk:
    owner: claims
    class: standard
    limits: {rate_per_s: 10, concurrency: 4, deadline_ms: 900}
    routes: [{path: /desk, kind: review}]
";

#[test]
fn an_ordinary_change_binds_and_differs() {
    let mut copy = WorkingCopy::new(items(TEXT).unwrap()).unwrap();
    let before = copy.text();
    let after = copy.change();
    assert_ne!(before, after);
    assert!(routes(items(&after).unwrap()).is_ok());
}

#[test]
fn a_forgetful_change_reads_well_but_doesnt_bind() {
    let copy = WorkingCopy::new(items(TEXT).unwrap()).unwrap();
    let bad = items(&copy.forgetful_change().unwrap()).unwrap();
    let err = routes(bad).unwrap_err();
    assert!(
        err.to_string().contains("there is no service retired-desk"),
        "{err}"
    );
    assert!(routes(items(&copy.text()).unwrap()).is_ok());
}

#[test]
fn a_catalogue_without_routes_is_refused() {
    assert!(WorkingCopy::new(items("kinds: {}").unwrap()).is_err());
}
