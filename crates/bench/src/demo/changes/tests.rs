use super::WorkingCopy;
use super::parse_items;
use crate::demo::bind_routes;

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
fn a_raised_rate_limit_changes_the_text_and_binds() {
    let mut copy = WorkingCopy::new(parse_items(TEXT).unwrap()).unwrap();
    let before = copy.render();
    let after = copy.raise_next_rate_limit();
    assert_ne!(before, after);
    assert!(bind_routes(parse_items(&after).unwrap()).is_ok());
}

#[test]
fn a_dangling_route_change_parses_but_doesnt_bind() {
    let copy = WorkingCopy::new(parse_items(TEXT).unwrap()).unwrap();
    let bad = parse_items(&copy.dangling_route_change().unwrap()).unwrap();
    let err = bind_routes(bad).unwrap_err();
    assert!(
        err.to_string().contains("there is no service retired-desk"),
        "{err}"
    );
    assert!(bind_routes(parse_items(&copy.render()).unwrap()).is_ok());
}

#[test]
fn a_catalogue_without_routes_is_rejected() {
    assert!(WorkingCopy::new(parse_items("kinds: {}").unwrap()).is_err());
}
