//! Which endpoint a request goes to.

use std::collections::HashMap;
use std::time::Duration;

use rstest::rstest;

use super::bench::Bench;
use super::bench::NOW;
use super::bench::SERVICE;
use super::bench::elsewhere;
use super::bench::far;
use super::bench::near;
use crate::Homes;
use crate::InstanceState;
use crate::Intake;
use crate::KindName;
use crate::LoadReport;
use crate::Reason;
use crate::RegionName;
use crate::RequestKey;
use crate::RouteSettings;
use crate::ServiceName;
use crate::TargetId;
use crate::TargetLife;
use crate::Verdict;

#[test]
fn the_nearest_tier_is_used_until_it_is_full() {
    let all = [near(&["n"]), far(&["d"]), vec![elsewhere("r")]].concat();
    let mut bench = Bench::new("caller", all);
    let picks: Vec<_> = (0..27).map(|_| bench.pick(NOW)).collect();
    let ids: Vec<_> = picks
        .iter()
        .map(|p| bench.id(p.endpoint()).as_str())
        .collect();
    let all_of = |range: &[&str], id| range.iter().all(|picked| *picked == id);
    assert!(all_of(&ids[..9], "n"), "{ids:?}");
    assert!(!ids[..18].contains(&"r"), "{ids:?}");
    assert!(ids[18..].contains(&"r"), "{ids:?}");
    drop(picks);
    assert_eq!(bench.counts(NOW, 10), HashMap::from([("n".to_owned(), 10)]));
}

/// Guards against requests that leave the regions of their route, also when all endpoints
/// there are full, avoided or left out.
#[test]
fn requests_stay_at_home() {
    let all = [near(&["n"]), far(&["d"]), vec![elsewhere("r")]].concat();
    let mut bench = Bench::new("caller", all);
    let homes = |name| Homes::new([RegionName::new(name).unwrap()]);
    bench.homes = homes("ernakulam");
    let picks: Vec<_> = (0..30).map(|_| bench.pick(NOW)).collect();
    assert!(
        picks
            .iter()
            .all(|it| bench.id(it.endpoint()).as_str() == "r")
    );
    let avoid = [picks[0].endpoint()];
    assert_eq!(bench.pick_but(NOW, &avoid).unwrap_err(), Reason::NoEndpoint);
    let has_other = |bench: &Bench| {
        let (service, homes) = (bench.service, &bench.homes);
        bench.picker.has_other(service, homes, NOW, &avoid)
    };
    assert!(!has_other(&bench));
    bench.homes = homes("ulaanbaatar");
    assert!(has_other(&bench));
    bench.homes = homes("nowhere");
    assert_eq!(bench.pick_but(NOW, &[]).unwrap_err(), Reason::NotAtHome);
}

/// Guards against a request with a key that runs at an owner outside of its route's regions.
#[test]
fn an_owner_that_is_not_at_home_is_not_asked() {
    let mut bench = Bench::new("caller", [near(&["n"]), vec![elsewhere("r")]].concat());
    bench.homes = Homes::new([RegionName::new("ernakulam").unwrap()]);
    let service = ServiceName::new(SERVICE).unwrap();
    let asked = |n: u32| {
        let key = RequestKey::new(&service, "POST /approvals", &n.to_string()).unwrap();
        let picked = bench
            .picker
            .pick_owner(bench.service, &bench.homes, NOW, &key);
        picked.map(|it| bench.id(it.endpoint()).to_string())
    };
    for n in 0..50 {
        match asked(n) {
            Ok(id) => assert_eq!(id, "r"),
            Err(refusal) => assert_eq!(refusal.reason(), Reason::NotAtHome),
        }
    }
}

#[test]
fn the_less_loaded_of_two_is_chosen() {
    let mut bench = Bench::new("caller", near(&["a", "b"]));
    let busy = LoadReport {
        in_flight: 8,
        slots: 10,
        queued: 3,
    };
    let picked = bench.pick(NOW);
    let id = bench.id(picked.endpoint()).to_string();
    picked.report(NOW, busy);
    drop(picked);
    assert!(!bench.counts(NOW, 50).contains_key(&id));
    let old = NOW + Duration::from_secs(2);
    assert!(bench.counts(old, 50).contains_key(&id), "a report fades");
}

#[test]
fn own_requests_spread_before_any_answer() {
    let mut bench = Bench::new("caller", near(&["a", "b", "c", "d"]));
    let picks: Vec<_> = (0..24).map(|_| bench.pick(NOW)).collect();
    let mut counts = HashMap::new();
    for picked in &picks {
        *counts.entry(picked.endpoint()).or_insert(0) += 1;
    }
    assert!(counts.values().all(|n| (4..=8).contains(n)), "{counts:?}");
}

#[derive(Debug)]
enum Out {
    Closed,
    ListedAsLeaving,
    Draining,
    Avoided,
}

/// Guards against new requests for an endpoint that leaves.
#[rstest]
#[case(Out::Closed)]
#[case(Out::ListedAsLeaving)]
#[case(Out::Draining)]
#[case(Out::Avoided)]
fn what_leaves_gets_nothing_new(#[case] out: Out) {
    let mut all = near(&["a", "b"]);
    if let Out::ListedAsLeaving = out {
        all.iter_mut()
            .for_each(|i| i.state = InstanceState::Leaving);
    }
    let mut bench = Bench::new("caller", all);
    let mut avoid = Vec::new();
    match out {
        Out::Closed => ["a", "b"].map(|id| bench.mark(id, Intake::Closed, NOW)),
        Out::Draining => ["a", "b"].map(|_| bench.pick(NOW).finish(NOW, Verdict::Draining)),
        Out::Avoided => {
            ["a", "b"].map(|_| avoid.push(bench.pick_but(NOW, &avoid).unwrap().endpoint()))
        }
        Out::ListedAsLeaving => [(); 2],
    };
    assert_eq!(
        bench.pick_but(NOW, &avoid).unwrap_err(),
        Reason::NoEndpoint,
        "{out:?}"
    );
}

/// Guards against a cold endpoint that gets its full share at once.
#[test]
fn a_cold_endpoint_gets_its_share_slowly() {
    let mut bench = Bench::new("caller", near(&["a", "b"]));
    bench.mark("a", Intake::Closed, NOW);
    assert!(!bench.counts(NOW, 50).contains_key("a"));
    bench.mark("a", Intake::Open, NOW);
    let cold = NOW + Duration::from_millis(100);
    let warm = NOW + Duration::from_secs(3);
    let held = |bench: &mut Bench, now| {
        let picks: Vec<_> = (0..11).map(|_| bench.pick(now)).collect();
        let ids = picks.iter().map(|p| bench.id(p.endpoint()).as_str());
        ids.filter(|id| *id == "a").count()
    };
    assert!((3..=4).contains(&held(&mut bench, cold)));
    assert!((5..=6).contains(&held(&mut bench, warm)));
}

/// Guards against a node that ejects all endpoints since its own network fails.
#[test]
fn never_more_than_a_share_is_ejected() {
    let mut bench = Bench::new("caller", near(&["a", "b", "c", "d"]));
    for _ in 0..400 {
        bench.pick(NOW).finish(NOW, Verdict::NoConnection);
    }
    assert_eq!(bench.counts(NOW, 200).len(), 2);
    let mut single = Bench::new("caller", near(&["a"]));
    single.judge("a", NOW, Verdict::Failed, 9);
    assert_eq!(single.counts(NOW, 5).len(), 1);
    let mut pair = Bench::new("caller", near(&["a", "b"]));
    pair.judge("a", NOW, Verdict::Failed, 5);
    pair.mark("b", Intake::Closed, NOW);
    assert!(
        pair.counts(NOW, 5).contains_key("a"),
        "ejected, but all there is"
    );
}

#[test]
fn slow_answers_are_judged_by_the_service_s_average() {
    let mut bench = Bench::new("caller", near(&["a", "b", "c"]));
    let answer = |ms| Verdict::Answered(Duration::from_millis(ms));
    bench.judge("a", NOW, answer(30), 20);
    bench.judge("b", NOW, answer(300), 7);
    assert!(
        bench.counts(NOW, 200).contains_key("b"),
        "seven are too few"
    );
    bench.judge("b", NOW, answer(300), 1);
    assert!(!bench.counts(NOW, 200).contains_key("b"));
}

/// Guards against a slow endpoint that holds most requests since it looks healthy.
#[test]
fn a_slow_endpoint_is_chosen_less() {
    let mut bench = Bench::new("caller", near(&["a", "b", "slow"]));
    let kind = KindName::new("lookup").unwrap();
    let mut now = NOW;
    let mut chosen = HashMap::new();
    for _ in 0..600 {
        let picked = bench.pick(now);
        let id = bench.id(picked.endpoint()).as_str().to_owned();
        let took = Duration::from_millis(if id == "slow" { 600 } else { 120 });
        now = now + Duration::from_millis(5);
        *chosen.entry(id).or_insert(0) += 1;
        picked.timed(&kind, took);
        picked.finish(now, Verdict::Answered(took));
    }
    assert!(chosen["slow"] < 60, "{chosen:?}");
}

/// Guards against a new process that inherits the ejection of the one before.
#[rstest]
#[case::another_start(200, true)]
#[case::the_same_start(100, false)]
fn a_target_that_starts_again_is_judged_anew(#[case] born: u64, #[case] open: bool) {
    let life = |born| TargetLife {
        id: TargetId::new("t-1").unwrap(),
        listed_at: born,
        born: Some(born),
    };
    let listed = |born| {
        let mut all = near(&["a", "b", "c"]);
        all[0].target = Some(life(born));
        all
    };
    let mut bench = Bench::new("caller", listed(100));
    let failures = usize::try_from(RouteSettings::default().eject.errors).unwrap();
    bench.judge("a", NOW, Verdict::Failed, failures);
    assert!(!bench.counts(NOW, 50).contains_key("a"), "it is ejected");
    bench.list_anew("caller", listed(born), NOW);
    // Held, they fill the others: the new process is cold, and has its share.
    let held: Vec<_> = (0..40).map(|_| bench.pick(NOW)).collect();
    let mut ids = held.iter().map(|picked| bench.id(picked.endpoint()));
    assert_eq!(ids.any(|id| id.as_str() == "a"), open);
}
