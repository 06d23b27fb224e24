use std::time::Duration;

use rstest::rstest;

use crate::Body;
use crate::Catalogue;
use crate::Revision;
use crate::SpreadConfig;
use crate::Stream;
use crate::catalogue;
use crate::spread::history::History;
use crate::spread::tests::net::good;

fn held(n: u64) -> Catalogue {
    let items = catalogue::parse(&good(n)).unwrap();
    Catalogue::new(Revision::new(n).unwrap(), items).unwrap()
}

/// A catalogue of `size` kinds; that of number `n % size` has another weight.
fn large(size: u64, n: u64) -> Catalogue {
    let weight = |kind: u64| if kind == n % size { 7 + n } else { 1 };
    let kinds = (0..size).map(|kind| format!("  k{kind}: {{weight: {}}}\n", weight(kind)));
    let text = format!("kinds:\n{}services: {{}}\n", kinds.collect::<String>());
    let items = catalogue::parse(&text).unwrap();
    Catalogue::new(Revision::new(n).unwrap(), items).unwrap()
}

#[derive(Debug)]
struct Behind {
    base: u64,
    /// Whether the history goes back that far.
    delta: bool,
}

#[rstest]
#[case(Behind { base: 9, delta: true })]
#[case(Behind { base: 7, delta: true })]
#[case(Behind { base: 6, delta: true })]
#[case(Behind { base: 5, delta: false })]
fn a_peer_gets_a_delta_as_far_as_the_history_goes_back(#[case] case: Behind) {
    let mut history = History::new(Stream::Catalogue, 4, 1 << 20);
    for n in 2..=10 {
        history.advance(Some(&large(50, n - 1)), &large(50, n));
    }
    let newest = large(50, 10);
    let base = large(50, case.base);
    let body = history.body(Some(base.version()), &newest).unwrap();
    assert_eq!(body.base.is_some(), case.delta, "{case:?}");
    let opened = body.open(Some(&base)).unwrap();
    assert_eq!(opened.version(), newest.version());
}

#[test]
fn a_history_is_bounded_by_its_bytes() {
    let mut history = History::new(Stream::Catalogue, 100, 10);
    history.advance(Some(&large(50, 1)), &large(50, 2));
    history.advance(Some(&large(50, 2)), &large(50, 3));
    let body = history.body(Some(large(50, 1).version()), &large(50, 3));
    assert_eq!(body.unwrap().base, None);
}

// A delta comes a second time, or after one that it crossed. Applied to what
// is held by now it would give a mixture of two versions.
#[test]
fn a_delta_is_refused_on_another_base() {
    let body = Body::delta(Stream::Catalogue, held(1).delta_to(&held(2))).unwrap();
    assert!(body.open(Some(&held(1))).is_ok());
    assert!(body.open(Some(&held(2))).is_err());
    assert!(body.open::<crate::CatalogueItem>(None).is_err());
}

#[test]
fn a_damaged_body_is_refused_whole() {
    let body = Body::whole(Stream::Catalogue, &held(1)).unwrap();
    for n in 0..body.bytes.len() {
        let mut bytes = body.bytes.to_vec();
        bytes[n] ^= 1;
        let damaged = Body {
            bytes: bytes.into(),
            ..body.clone()
        };
        let opened = damaged.open::<crate::CatalogueItem>(None);
        assert!(opened.is_err(), "byte {n}");
    }
}

#[derive(Debug)]
struct OutOfRange {
    cfg: SpreadConfig,
    names: &'static str,
}

#[rstest]
#[case(OutOfRange { cfg: SpreadConfig { fanout: 0, ..SpreadConfig::default() }, names: "fanout" })]
#[case(OutOfRange { cfg: SpreadConfig { all_read: 65, ..SpreadConfig::default() }, names: "all_read" })]
#[case(OutOfRange { cfg: SpreadConfig { share_percent: 101, ..SpreadConfig::default() }, names: "share_percent" })]
#[case(OutOfRange { cfg: SpreadConfig { contact_bound: Duration::from_secs(2), ..SpreadConfig::default() }, names: "contact_bound" })]
#[case(OutOfRange { cfg: SpreadConfig { pause_bound: Duration::from_secs(1), ..SpreadConfig::default() }, names: "pause_bound" })]
#[case(OutOfRange { cfg: SpreadConfig { backoff_cap: Duration::from_millis(20), ..SpreadConfig::default() }, names: "backoff_cap" })]
fn settings_out_of_range_are_named(#[case] case: OutOfRange) {
    let refused = case.cfg.clone().checked().unwrap_err().to_string();
    assert!(refused.contains(case.names), "{refused}: {case:?}");
}
