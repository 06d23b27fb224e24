use std::time::Duration;

use super::MembershipTable;
use super::MergeOutcome;
use crate::EndpointState;
use crate::InstanceId;
use crate::InstanceList;
use crate::Phase;
use crate::Revision;
use crate::Tick;
use crate::testing;

fn list(n: usize) -> InstanceList {
    let listed = |n| testing::instance(&format!("wd-{n}"), "workshop-desk", "khan-uul");
    let instances = (0..n).map(listed);
    InstanceList::new(Revision::new(1).unwrap(), instances).unwrap()
}

fn state(n: usize, incarnation: u64, sequence: u64, phase: Phase) -> EndpointState {
    EndpointState {
        instance: InstanceId::new(&format!("wd-{n}")).unwrap(),
        incarnation,
        sequence,
        phase,
    }
}

#[test]
fn the_newest_record_wins_in_any_order_of_arrival() {
    let received = [
        state(1, 5, 0, Phase::Starting),
        state(1, 5, 1, Phase::Ready),
        state(1, 4, 9, Phase::Gone),
        state(1, 6, 0, Phase::Starting),
    ];
    let list = list(4);
    let mut forward = MembershipTable::new();
    let mut backward = MembershipTable::new();
    for n in 0..received.len() {
        forward.merge(Tick::ZERO, &received[n], Some(&list));
        backward.merge(Tick::ZERO, &received[received.len() - 1 - n], Some(&list));
    }
    assert_eq!(forward.get(&received[0].instance), Some(&received[3]));
    assert_eq!(forward.root_digest(), backward.root_digest());
    assert_eq!(
        forward.merge(Tick::ZERO, &received[3], Some(&list)),
        MergeOutcome::NotNewer
    );
}

#[test]
fn comparing_buckets_finds_the_differing_records() {
    let list = list(200);
    let mut one = MembershipTable::new();
    let mut other = MembershipTable::new();
    for n in 0..200 {
        let record = state(n, 1, 1, Phase::Ready);
        one.merge(Tick::ZERO, &record, Some(&list));
        other.merge(Tick::ZERO, &record, Some(&list));
    }
    assert_eq!(one.differing_buckets(&other.bucket_digests()), 0);
    let newer = state(77, 1, 2, Phase::Draining);
    one.merge(Tick::ZERO, &newer, Some(&list));
    assert_ne!(one.root_digest(), other.root_digest());
    let differing = one.differing_buckets(&other.bucket_digests());
    assert_eq!(differing.count_ones(), 1);
    let found: Vec<_> = one.records_in_buckets(differing).collect();
    assert!(found.contains(&&newer) && found.len() < 20);
    for state in found {
        other.merge(Tick::ZERO, state, Some(&list));
    }
    assert_eq!(one.root_digest(), other.root_digest());
}

/// Guards against a table of records that grows with every replaced instance.
#[test]
fn a_record_of_an_unlisted_instance_expires_after_the_retention_time() {
    let mut members = MembershipTable::new();
    let before = list(3);
    let record = state(2, 1, 3, Phase::Gone);
    members.merge(Tick::ZERO, &record, Some(&before));
    members.apply_list(Tick::ZERO, &list(2));
    assert_eq!(members.root_digest(), MembershipTable::new().root_digest());
    assert_eq!(members.get(&record.instance), Some(&record));
    let later = Tick::ZERO + Duration::from_secs(61);
    members.expire_unlisted(later);
    assert_eq!(members.get(&record.instance), None);
}

#[test]
fn unlisted_records_are_bounded() {
    let mut members = MembershipTable::new();
    let merged = (0..2_000).map(|n| members.merge(Tick::ZERO, &state(n, 1, 0, Phase::Ready), None));
    let full = merged
        .filter(|merged| *merged == MergeOutcome::TableFull)
        .count();
    assert_eq!(full, 2_000 - 1_024);
}
