//! What callers get of a target that more is asked of than it bears.

use super::load::Kind;
use super::load::play;
use crate::Class;

/// A store of images beside which notes are read and manifests are looked up by
/// requests that run at another service.
const DEPOT: [Kind; 3] = [
    Kind {
        name: "lookup",
        class: Class::Standard,
        per_s: 64.0,
        took_ms: 33.0,
        aim_ms: 120,
        wait_ms: 400,
    },
    Kind {
        name: "notes",
        class: Class::Standard,
        per_s: 56.0,
        took_ms: 53.0,
        aim_ms: 300,
        wait_ms: 1_200,
    },
    Kind {
        name: "upload",
        class: Class::Standard,
        per_s: 22.0,
        took_ms: 160.0,
        aim_ms: 800,
        wait_ms: 3_000,
    },
];

/// The same with more of everything.
fn times(factor: f64) -> Vec<Kind> {
    let more = |kind: &Kind| Kind {
        per_s: kind.per_s * factor,
        ..*kind
    };
    DEPOT.iter().map(more).collect()
}

/// Guards against short requests that wait behind long ones, and long ones that starve.
#[test]
fn short_requests_pass_and_long_ones_are_not_starved() {
    let got = play(6, &times(1.0), 60, 5);
    let served = |kind: &str| got[kind].served();
    assert!(served("lookup") > 0.98, "{got:?}");
    assert!(served("notes") > 0.95, "{got:?}");
    assert!((0.2..0.6).contains(&served("upload")), "{got:?}");
}

/// Guards against goodput that falls as more is asked for.
#[test]
fn what_is_answered_stays_flat_under_overload() {
    let answered = |factor| {
        let got = play(6, &times(factor), 60, 6);
        got.values().map(|got| got.in_time).sum::<u32>()
    };
    let [once, twice, thrice] = [1.0, 2.0, 3.0].map(answered);
    assert!(
        twice > once && thrice > twice * 9 / 10,
        "{once} {twice} {thrice}"
    );
}

/// Guards against callers that wait for a refusal until it is too late to go elsewhere.
#[test]
fn who_is_turned_away_hears_of_it_at_once() {
    let checks = Kind {
        name: "check",
        class: Class::Background,
        per_s: 60.0,
        took_ms: 150.0,
        aim_ms: 400,
        wait_ms: 800,
    };
    let got = play(6, &[checks], 60, 7)["check"];
    let in_vain = f64::from(got.waited_in_vain) / f64::from(got.refused);
    assert!(in_vain < 0.15, "{got:?}");
    let borne = 40 * 60;
    assert!(got.in_time > borne * 92 / 100, "{got:?}");
}
