use std::time::Duration;

use rstest::rstest;

use crate::Body;
use crate::Catalogue;
use crate::Revision;
use crate::SpreadConfig;
use crate::Stream;
use crate::catalogue;
use crate::spread::history::History;
use crate::spread::tests::net::valid_catalogue;

fn catalogue_at(n: u64) -> Catalogue {
    let items = catalogue::parse(&valid_catalogue(n)).unwrap();
    Catalogue::new(Revision::new(n).unwrap(), items).unwrap()
}

/// A catalogue of `size` kinds, of which kind `n % size` has a different weight.
fn large_catalogue(size: u64, n: u64) -> Catalogue {
    let weight = |kind: u64| if kind == n % size { 7 + n } else { 1 };
    let kinds = (0..size).map(|kind| format!("  k{kind}: {{weight: {}}}\n", weight(kind)));
    let text = format!("kinds:\n{}services: {{}}\n", kinds.collect::<String>());
    let items = catalogue::parse(&text).unwrap();
    Catalogue::new(Revision::new(n).unwrap(), items).unwrap()
}

#[derive(Debug)]
struct BaseCase {
    base: u64,
    /// Whether the history still contains the base.
    delta: bool,
}

#[rstest]
#[case(BaseCase { base: 9, delta: true })]
#[case(BaseCase { base: 7, delta: true })]
#[case(BaseCase { base: 6, delta: true })]
#[case(BaseCase { base: 5, delta: false })]
fn a_peer_gets_a_delta_if_the_history_contains_its_base(#[case] case: BaseCase) {
    let mut history = History::new(Stream::Catalogue, 4, 1 << 20);
    for n in 2..=10 {
        history.advance(Some(&large_catalogue(50, n - 1)), &large_catalogue(50, n));
    }
    let newest = large_catalogue(50, 10);
    let base = large_catalogue(50, case.base);
    let body = history.body_since(Some(base.version()), &newest).unwrap();
    assert_eq!(body.base.is_some(), case.delta, "{case:?}");
    let opened = body.apply_to(Some(&base)).unwrap();
    assert_eq!(opened.version(), newest.version());
}

#[test]
fn a_history_is_bounded_in_bytes() {
    let mut history = History::new(Stream::Catalogue, 100, 10);
    history.advance(Some(&large_catalogue(50, 1)), &large_catalogue(50, 2));
    history.advance(Some(&large_catalogue(50, 2)), &large_catalogue(50, 3));
    let body = history.body_since(
        Some(large_catalogue(50, 1).version()),
        &large_catalogue(50, 3),
    );
    assert_eq!(body.unwrap().base, None);
}

/// Guards against a mixture of two versions, after a delta that arrives twice or out of
/// order.
#[test]
fn a_delta_is_rejected_on_another_base() {
    let body = Body::delta(
        Stream::Catalogue,
        catalogue_at(1).delta_to(&catalogue_at(2)),
    )
    .unwrap();
    assert!(body.apply_to(Some(&catalogue_at(1))).is_ok());
    assert!(body.apply_to(Some(&catalogue_at(2))).is_err());
    assert!(body.apply_to::<crate::CatalogueItem>(None).is_err());
}

#[test]
fn a_damaged_body_is_rejected_as_a_whole() {
    let body = Body::whole(Stream::Catalogue, &catalogue_at(1)).unwrap();
    for n in 0..body.bytes.len() {
        let mut bytes = body.bytes.to_vec();
        bytes[n] ^= 1;
        let damaged = Body {
            bytes: bytes.into(),
            ..body.clone()
        };
        let opened = damaged.apply_to::<crate::CatalogueItem>(None);
        assert!(opened.is_err(), "byte {n}");
    }
}

#[derive(Debug)]
struct OutOfRange {
    cfg: SpreadConfig,
    setting: &'static str,
}

#[rstest]
#[case(OutOfRange { cfg: SpreadConfig { fanout: 0, ..SpreadConfig::default() }, setting: "fanout" })]
#[case(OutOfRange { cfg: SpreadConfig { all_read: 65, ..SpreadConfig::default() }, setting: "all_read" })]
#[case(OutOfRange { cfg: SpreadConfig { share_percent: 101, ..SpreadConfig::default() }, setting: "share_percent" })]
#[case(OutOfRange { cfg: SpreadConfig { contact_bound: Duration::from_secs(2), ..SpreadConfig::default() }, setting: "contact_bound" })]
#[case(OutOfRange { cfg: SpreadConfig { pause_bound: Duration::from_secs(1), ..SpreadConfig::default() }, setting: "pause_bound" })]
#[case(OutOfRange { cfg: SpreadConfig { backoff_cap: Duration::from_millis(20), ..SpreadConfig::default() }, setting: "backoff_cap" })]
fn an_error_names_the_setting_that_is_out_of_range(#[case] case: OutOfRange) {
    let error = case.cfg.clone().checked().unwrap_err().to_string();
    assert!(error.contains(case.setting), "{error}: {case:?}");
}
