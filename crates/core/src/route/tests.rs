use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

use crate::Catalogue;
use crate::DomainName;
use crate::EndpointKey;
use crate::Instance;
use crate::InstanceId;
use crate::InstanceList;
use crate::InstanceState;
use crate::Intake;
use crate::LoadReport;
use crate::Meters;
use crate::Picked;
use crate::Picker;
use crate::Position;
use crate::Reason;
use crate::RegionName;
use crate::RequestKey;
use crate::Revision;
use crate::RouteSettings;
use crate::ServiceKey;
use crate::ServiceName;
use crate::Snapshot;
use crate::Tick;
use crate::Verdict;
use crate::catalogue;
use crate::testing::instance;

const NOW: Tick = Tick::from_millis(60_000);
const SERVICE: &str = "adjuster-desk";
const NEAR: &str = "khan-uul";
const FAR: &str = "sukhbaatar";
const CATALOGUE: &str = "
services:
  adjuster-desk:
    owner: claims-review
    class: critical
    limits: {rate_per_s: 100, concurrency: 10, deadline_ms: 1000}
";

/// A node with its picker over some instances.
struct Bench {
    snapshot: Snapshot,
    service: ServiceKey,
    meters: Arc<Meters>,
    picker: Picker,
    rng: SmallRng,
}

impl Bench {
    fn new(node: &str, instances: Vec<Instance>) -> Bench {
        let first = Revision::new(1).unwrap();
        let items = catalogue::parse(CATALOGUE).unwrap();
        let held = Catalogue::new(first, items).unwrap();
        let list = InstanceList::new(first, instances).unwrap();
        let snapshot = Snapshot::build(&held, &list).unwrap();
        let name = ServiceName::new(SERVICE).unwrap();
        let (service, _) = snapshot.find_service(&name).unwrap();
        let meters = Arc::new(Meters::new());
        let position = Position {
            instance: InstanceId::new(node).unwrap(),
            domain: DomainName::new(NEAR).unwrap(),
            region: RegionName::new("ulaanbaatar").unwrap(),
        };
        let cfg = RouteSettings::default();
        let picker = Picker::build(&snapshot, &position, cfg, &meters, NOW);
        Bench {
            snapshot,
            service,
            meters,
            picker,
            rng: SmallRng::seed_from_u64(1),
        }
    }

    fn pick(&mut self, now: Tick) -> Picked {
        self.pick_but(now, &[]).unwrap()
    }

    fn pick_but(&mut self, now: Tick, avoid: &[EndpointKey]) -> Result<Picked, Reason> {
        let picked = self.picker.pick(self.service, now, avoid, &mut self.rng);
        picked.map_err(|refusal| refusal.reason())
    }

    fn id(&self, endpoint: EndpointKey) -> &InstanceId {
        &self.snapshot.endpoint(endpoint).unwrap().instance.id
    }

    /// How often each endpoint is picked, none of them being kept busy.
    fn counts(&mut self, now: Tick, picks: usize) -> HashMap<String, usize> {
        let mut counts = HashMap::new();
        for _ in 0..picks {
            let endpoint = self.pick(now).endpoint();
            *counts.entry(self.id(endpoint).to_string()).or_default() += 1;
        }
        counts
    }

    fn mark(&self, id: &str, intake: Intake, now: Tick) {
        self.meters.mark(&InstanceId::new(id).unwrap(), intake, now);
    }

    /// Ends picks of an endpoint with a verdict, as often as it takes.
    fn judge(&mut self, id: &str, now: Tick, verdict: Verdict, times: usize) {
        let mut left = times;
        for _ in 0..1_000 * times {
            let picked = self.pick(now);
            if left > 0 && self.id(picked.endpoint()).as_str() == id {
                picked.finish(now, verdict);
                left -= 1;
            }
        }
    }
}

fn near(ids: &[&str]) -> Vec<Instance> {
    ids.iter().map(|id| instance(id, SERVICE, NEAR)).collect()
}

fn far(ids: &[&str]) -> Vec<Instance> {
    ids.iter().map(|id| instance(id, SERVICE, FAR)).collect()
}

fn elsewhere(id: &str) -> Instance {
    Instance {
        region: RegionName::new("ernakulam").unwrap(),
        ..instance(id, SERVICE, FAR)
    }
}

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

// An endpoint leaves, and this node hears of it in one way or another. No new
// request goes there, and when it was the last one the request is refused.
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

// An instance is replaced under its name and comes back cold: its caches are
// empty, and its full share at once would be answered late.
#[test]
fn a_cold_endpoint_gets_its_share_slowly() {
    let mut bench = Bench::new("caller", near(&["a", "b"]));
    bench.mark("a", Intake::Closed, NOW);
    assert!(!bench.counts(NOW, 50).contains_key("a"));
    bench.mark("a", Intake::Open, NOW);
    let cold = NOW + Duration::from_millis(100);
    let warm = NOW + Duration::from_secs(10);
    let held = |bench: &mut Bench, now| {
        let picks: Vec<_> = (0..11).map(|_| bench.pick(now)).collect();
        let ids = picks.iter().map(|p| bench.id(p.endpoint()).as_str());
        ids.filter(|id| *id == "a").count()
    };
    assert!(held(&mut bench, cold) <= 1);
    assert!(held(&mut bench, warm) >= 4);
}

// The node's own network fails, and every endpoint looks broken from here.
// At most half of them are left out, and if all are, they are tried anyway.
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

#[derive(Debug)]
struct Fleet {
    near: usize,
    far: usize,
    subset_near: usize,
    subset_far: usize,
}

#[rstest]
#[case(Fleet { near: 40, far: 40, subset_near: 8, subset_far: 4 })]
#[case(Fleet { near: 3, far: 40, subset_near: 3, subset_far: 9 })]
#[case(Fleet { near: 40, far: 2, subset_near: 10, subset_far: 2 })]
#[case(Fleet { near: 3, far: 2, subset_near: 3, subset_far: 2 })]
#[case(Fleet { near: 0, far: 40, subset_near: 0, subset_far: 12 })]
fn a_subset_bounds_the_connections(#[case] fleet: Fleet) {
    let bench = Bench::new("caller", fleet_of(fleet.near, fleet.far));
    let subset: Vec<_> = bench.picker.subset(bench.service).collect();
    let is_near = |key: &&EndpointKey| bench.id(**key).as_str().starts_with('n');
    let near = subset.iter().filter(is_near).count();
    let found = (near, subset.len() - near);
    assert_eq!(found, (fleet.subset_near, fleet.subset_far), "{fleet:?}");
}

fn fleet_of(near: usize, far: usize) -> Vec<Instance> {
    let n = (0..near).map(|i| instance(&format!("n{i}"), SERVICE, NEAR));
    let f = (0..far).map(|i| instance(&format!("f{i}"), SERVICE, FAR));
    n.chain(f).collect()
}

// A fleet of forty callers and forty endpoints. Were subsets drawn unevenly,
// some targets would hold most of the connections and others none.
#[test]
fn subsets_cover_all_and_change_by_one() {
    let subset = |caller: usize, all: Vec<Instance>| {
        let bench = Bench::new(&format!("caller-{caller}"), all);
        let keys = bench.picker.subset(bench.service);
        keys.map(|key| bench.id(key).clone())
            .collect::<HashSet<_>>()
    };
    let mut counts: HashMap<InstanceId, usize> = HashMap::new();
    for caller in 0..40 {
        let before = subset(caller, fleet_of(40, 0));
        let after = subset(caller, fleet_of(39, 0));
        assert!(before.difference(&after).count() <= 1);
        before
            .into_iter()
            .for_each(|id| *counts.entry(id).or_default() += 1);
    }
    assert_eq!(counts.len(), 40);
    assert!(counts.values().all(|n| (3..=24).contains(n)), "{counts:?}");
}

// Every endpoint of the subset drains at once, as when a rack is taken out.
#[test]
fn beyond_the_subset_is_better_than_nothing() {
    let mut bench = Bench::new("caller", fleet_of(20, 0));
    let subset: Vec<_> = bench.picker.subset(bench.service).collect();
    for key in &subset {
        bench.mark(&bench.id(*key).to_string(), Intake::Closed, NOW);
    }
    assert!(!subset.contains(&bench.pick(NOW).endpoint()));
}

// Half of a fleet can't reach the owner of a key and the other half can. Both
// must name the same owner, or two of them would run the key.
#[test]
fn the_owner_of_a_key_goes_by_the_list_alone() {
    let service = ServiceName::new(SERVICE).unwrap();
    let mut owned = HashMap::new();
    let here = Bench::new("caller-1", fleet_of(3, 3));
    let mut there = Bench::new("caller-2", fleet_of(3, 3));
    there.judge("n1", NOW, Verdict::NoConnection, 3);
    for i in 0..600 {
        let key = RequestKey::new(&service, "POST /approvals", &i.to_string()).unwrap();
        let [a, b] = [&here, &there].map(|bench| {
            let picked = bench.picker.pick_owner(bench.service, NOW, &key).unwrap();
            bench.id(picked.endpoint()).clone()
        });
        assert_eq!(a, b);
        *owned.entry(a).or_insert(0) += 1;
    }
    assert!(
        owned.len() == 6 && owned.values().all(|n| *n > 60),
        "{owned:?}"
    );
}
