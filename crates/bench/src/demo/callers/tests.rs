use std::time::Duration;

use sassafrasspool_core::RoutePath;

use super::kinds;
use crate::demo::changes::items;
use crate::demo::deployment::Call;
use crate::demo::routes;
use crate::load::Keys;

const CATALOGUE: &str = "
kinds: {review: {weight: 2}, approval: {weight: 9}}
services:
  desk:
    owner: claims
    class: standard
    limits: {rate_per_s: 10, concurrency: 4, deadline_ms: 900}
    routes:
      - {path: /desk, kind: review, idempotent: true}
      - {path: /desk/approvals, kind: approval, class: critical}
";

fn call(path: &str) -> Call {
    Call {
        path: RoutePath::new(path).unwrap(),
        share: 3,
        service: Duration::ZERO,
        answer_bytes: 70,
    }
}

#[test]
fn calls_are_made_as_their_routes_say() {
    let routes = routes(items(CATALOGUE).unwrap()).unwrap();
    let found = kinds(&[call("/desk/7"), call("/desk/approvals")], &routes).unwrap();
    let told = found
        .iter()
        .map(|kind| (kind.name, kind.weight, kind.idempotent, kind.keys));
    let wanted = [
        ("review", 2, true, Keys::None),
        ("approval", 9, false, Keys::Half),
    ];
    assert_eq!(told.collect::<Vec<_>>(), wanted);
    assert!(kinds(&[call("/elsewhere")], &routes).is_err());
}
