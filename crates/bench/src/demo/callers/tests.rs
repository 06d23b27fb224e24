use std::time::Duration;

use sassafrasspool_core::RoutePath;

use super::call_kinds;
use crate::demo::bind_routes;
use crate::demo::changes::parse_items;
use crate::demo::deployment::Call;
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
        service_time: Duration::ZERO,
        answer_bytes: 70,
    }
}

#[test]
fn call_kinds_take_weight_and_idempotence_from_their_routes() {
    let routes = bind_routes(parse_items(CATALOGUE).unwrap()).unwrap();
    let kinds = call_kinds(&[call("/desk/7"), call("/desk/approvals")], &routes).unwrap();
    let actual = kinds
        .iter()
        .map(|kind| (kind.name, kind.weight, kind.idempotent, kind.keys));
    let expected = [
        ("review", 2, true, Keys::None),
        ("approval", 9, false, Keys::Half),
    ];
    assert_eq!(actual.collect::<Vec<_>>(), expected);
    assert!(call_kinds(&[call("/elsewhere")], &routes).is_err());
}
