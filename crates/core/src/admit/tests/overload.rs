//! What callers receive from a target under overload.

use super::load::Kind;
use super::load::simulate;
use crate::Class;

/// The load of an image store: uploads, notes that are read, and manifests that are looked
/// up by requests that run at another service.
const DEPOT: [Kind; 3] = [
    Kind {
        name: "lookup",
        class: Class::Standard,
        per_s: 64.0,
        mean_ms: 33.0,
        soft_deadline_ms: 120,
        timeout_ms: 400,
    },
    Kind {
        name: "notes",
        class: Class::Standard,
        per_s: 56.0,
        mean_ms: 53.0,
        soft_deadline_ms: 300,
        timeout_ms: 1_200,
    },
    Kind {
        name: "upload",
        class: Class::Standard,
        per_s: 22.0,
        mean_ms: 160.0,
        soft_deadline_ms: 800,
        timeout_ms: 3_000,
    },
];

/// The same load with all rates multiplied by `factor`.
fn times(factor: f64) -> Vec<Kind> {
    let more = |kind: &Kind| Kind {
        per_s: kind.per_s * factor,
        ..*kind
    };
    DEPOT.iter().map(more).collect()
}

/// Guards against short requests that wait behind long ones, and long ones that starve.
#[test]
fn short_requests_go_first_and_long_ones_do_not_starve() {
    let got = simulate(6, &times(1.0), 60, 5);
    let served = |kind: &str| got[kind].served();
    assert!(served("lookup") > 0.98, "{got:?}");
    assert!(served("notes") > 0.95, "{got:?}");
    assert!((0.2..0.6).contains(&served("upload")), "{got:?}");
}

/// Guards against goodput that falls as the offered load rises.
#[test]
fn goodput_does_not_collapse_under_overload() {
    let answered = |factor| {
        let got = simulate(6, &times(factor), 60, 6);
        got.values().map(|got| got.in_time).sum::<u32>()
    };
    let [once, twice, thrice] = [1.0, 2.0, 3.0].map(answered);
    assert!(
        twice > once && thrice > twice * 9 / 10,
        "{once} {twice} {thrice}"
    );
}

/// Guards against callers that wait for a refusal until it is too late to try elsewhere.
#[test]
fn most_refusals_come_at_once() {
    let checks = Kind {
        name: "check",
        class: Class::Background,
        per_s: 60.0,
        mean_ms: 150.0,
        soft_deadline_ms: 400,
        timeout_ms: 800,
    };
    let got = simulate(6, &[checks], 60, 7)["check"];
    let timed_out = f64::from(got.timed_out) / f64::from(got.refused);
    assert!(timed_out < 0.15, "{got:?}");
    let capacity = 40 * 60;
    assert!(got.in_time > capacity * 92 / 100, "{got:?}");
}
