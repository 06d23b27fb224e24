//! The endpoints that a node sends to, over a fleet.

use std::collections::HashMap;
use std::collections::HashSet;

use rstest::rstest;

use super::fixture::Fixture;
use super::fixture::NOW;
use super::fixture::SERVICE;
use super::fixture::fleet_of;
use crate::AttemptOutcome;
use crate::EndpointKey;
use crate::Instance;
use crate::InstanceId;
use crate::Intake;
use crate::RequestKey;
use crate::ServiceName;

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
fn subset_bounds_connections(#[case] fleet: Fleet) {
    let fixture = Fixture::new("caller", fleet_of(fleet.near, fleet.far));
    let subset: Vec<_> = fixture.picker.subset(fixture.service).collect();
    let is_near = |key: &&EndpointKey| fixture.id(**key).as_str().starts_with('n');
    let near = subset.iter().filter(is_near).count();
    let found = (near, subset.len() - near);
    assert_eq!(found, (fleet.subset_near, fleet.subset_far), "{fleet:?}");
}

// A fleet of forty callers and forty endpoints. If subsets were chosen unevenly, some
// targets would have most of the connections and others none.
#[test]
fn subsets_cover_all_endpoints_and_change_by_one() {
    let subset = |caller: usize, all: Vec<Instance>| {
        let fixture = Fixture::new(&format!("caller-{caller}"), all);
        let keys = fixture.picker.subset(fixture.service);
        keys.map(|key| fixture.id(key).clone())
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

// Every endpoint of the subset drains at once, as when a rack is taken out of service.
#[test]
fn endpoints_beyond_a_closed_subset_are_used() {
    let mut fixture = Fixture::new("caller", fleet_of(20, 0));
    let subset: Vec<_> = fixture.picker.subset(fixture.service).collect();
    for key in &subset {
        fixture.mark(&fixture.id(*key).to_string(), Intake::Closed, NOW);
    }
    assert!(!subset.contains(&fixture.pick(NOW).endpoint()));
}

// Half of a fleet can't reach the owner of a key and the other half can. Both must choose
// the same owner; otherwise two endpoints would run the same key.
#[test]
fn owner_of_a_key_depends_on_list_alone() {
    let service = ServiceName::new(SERVICE).unwrap();
    let mut owned = HashMap::new();
    let here = Fixture::new("caller-1", fleet_of(3, 3));
    let mut there = Fixture::new("caller-2", fleet_of(3, 3));
    there.finish_picks_of("n1", NOW, AttemptOutcome::NoConnection, 3);
    for i in 0..600 {
        let key = RequestKey::new(&service, "POST /approvals", &i.to_string()).unwrap();
        let [a, b] = [&here, &there].map(|fixture| {
            let picked = fixture
                .picker
                .pick_owner(fixture.service, &fixture.homes, NOW, &key)
                .unwrap();
            fixture.id(picked.endpoint()).clone()
        });
        assert_eq!(a, b);
        *owned.entry(a).or_insert(0) += 1;
    }
    assert!(
        owned.len() == 6 && owned.values().all(|n| *n > 60),
        "{owned:?}"
    );
}
