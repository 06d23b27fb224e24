use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

use super::Backoff;
use super::ContactClock;
use super::Placement;
use super::ReadBudget;
use super::ReaderRole;
use crate::Contact;
use crate::DomainName;
use crate::InstanceId;
use crate::InstanceList;
use crate::Revision;
use crate::SpreadConfig;
use crate::Tick;
use crate::testing;

fn id(n: usize) -> InstanceId {
    InstanceId::new(&format!("rd-{n}")).unwrap()
}

fn domain(n: usize) -> DomainName {
    DomainName::new(["kakkanad", "edappally", "vyttila"][n % 3]).unwrap()
}

fn list(ids: impl Iterator<Item = usize>) -> InstanceList {
    let instances = ids.map(|n| {
        let id = format!("rd-{n}");
        testing::instance(&id, "report-desk", domain(n).as_str())
    });
    InstanceList::new(Revision::new(1).unwrap(), instances).unwrap()
}

fn rank(list: &InstanceList, n: usize) -> Option<u32> {
    Placement::find(list, &id(n), &domain(n)).rank
}

#[test]
fn ranks_are_unique_in_a_domain_and_change_by_at_most_one_when_an_instance_is_removed() {
    let all = list(0..60);
    let mut ranks: Vec<_> = (0..60).step_by(3).map(|n| rank(&all, n).unwrap()).collect();
    let without = list((0..60).filter(|n| *n != 30));
    for n in (0..60).step_by(3).filter(|n| *n != 30) {
        let (before, after) = (rank(&all, n).unwrap(), rank(&without, n).unwrap());
        assert!(after == before || after + 1 == before);
    }
    assert_eq!(rank(&without, 30), None);
    ranks.sort_unstable();
    assert_eq!(ranks, (0..20).collect::<Vec<u32>>());
}

#[test]
fn an_old_proof_keeps_its_age_at_a_node_that_has_just_started() {
    let mut contact = ContactClock::default();
    let now = Tick::from_millis(10);
    let received = Contact {
        age_ms: 60_000,
        rank: 0,
    };
    contact.merge(now, Some(received));
    assert_eq!(contact.age(now), Some(Duration::from_secs(60)));
    contact.record_contact(now, 1);
    contact.merge(now + Duration::from_secs(1), Some(received));
    let later = now + Duration::from_secs(2);
    assert_eq!(contact.age(later), Some(Duration::from_secs(2)));
}

#[test]
fn backoff_waits_are_jittered_and_capped() {
    let mut rng = SmallRng::seed_from_u64(1);
    let cap = Duration::from_secs(10);
    let mut longest = Duration::ZERO;
    let mut below_half = 0;
    for _ in 0..200 {
        let mut backoff = Backoff::new(Duration::from_millis(200), cap);
        let waits: Vec<_> = (0..40).map(|_| backoff.record_failure(&mut rng)).collect();
        assert!(waits[0] <= Duration::from_millis(200));
        longest = longest.max(*waits.iter().max().unwrap());
        below_half += usize::from(waits[39] < cap / 2);
    }
    assert!(longest <= cap && longest > cap / 2);
    assert!((60..140).contains(&below_half), "{below_half}");
}

/// Readers in each failure domain.
const READERS: u32 = 2;

/// Reads in each of 30 seconds from `start` on, by `fleet` nodes that request a read
/// again as soon as the previous one is answered; each answer takes no time.
fn reads_by_second(fleet: usize, start: Tick, placement: Option<Placement>) -> Vec<usize> {
    let cfg = SpreadConfig {
        assumed_fleet: u32::try_from(fleet).unwrap(),
        ..SpreadConfig::default()
    };
    let mut reads = vec![0; 30];
    for seed in 0..fleet {
        let mut rng = SmallRng::seed_from_u64(seed as u64);
        let mut budget = ReadBudget::new(&cfg, &mut rng, Tick::ZERO);
        if let Some(placement) = &placement {
            budget.set_placement(Tick::ZERO, placement, READERS);
        }
        let mut now = start;
        loop {
            now = budget.reserve(now);
            let second = usize::try_from(now.since(start).as_secs()).unwrap();
            if second >= reads.len() {
                break;
            }
            budget.consume(now);
            reads[second] += 1;
        }
    }
    reads
}

/// Guards against a fleet that exceeds the read budget when no node reaches a peer
/// and every node reads.
#[test]
fn the_whole_fleet_stays_within_its_share() {
    let fleet = 4_100;
    let placement = Placement {
        rank: Some(9),
        listed: true,
        higher_ranked: Vec::new(),
        domain_count: 4,
        fleet_size: 4_100,
    };
    for placement in [None, Some(placement)] {
        let reads = reads_by_second(fleet, Tick::from_millis(61_234), placement);
        let most = reads.iter().max().unwrap();
        assert!(*most <= 250, "{reads:?}");
        let total: usize = reads.iter().sum();
        assert!(total > fleet, "each node reads at least once: {total}");
    }
}

#[test]
fn chosen_readers_get_their_part_of_the_share() {
    let placement = Placement {
        rank: Some(1),
        listed: true,
        higher_ranked: Vec::new(),
        domain_count: 4,
        fleet_size: 4_100,
    };
    let reads = reads_by_second(8, Tick::from_millis(5_000), Some(placement));
    assert!(
        reads.iter().all(|reads| (100..=250).contains(reads)),
        "{reads:?}"
    );
}

fn role(list: &InstanceList, n: usize) -> ReaderRole {
    let mut rng = SmallRng::seed_from_u64(n as u64);
    let mut role = ReaderRole::new(&SpreadConfig::default(), &mut rng);
    role.set_placement(Placement::find(list, &id(n), &domain(n)));
    role
}

/// Number of readers in a fleet of some size.
#[derive(Debug)]
struct Readers {
    fleet: usize,
    /// Readers in the whole fleet, which has three failure domains.
    expected: usize,
}

/// Guards against large fleets in which every node reads, and small fleets with too
/// few readers.
#[rstest]
#[case::small(Readers { fleet: 10, expected: 10 })]
#[case::at_the_bound(Readers { fleet: 16, expected: 16 })]
#[case::above_the_bound(Readers { fleet: 17, expected: 6 })]
#[case::large(Readers { fleet: 79, expected: 6 })]
fn every_node_of_a_small_fleet_reads(#[case] case: Readers) {
    let all = list(0..case.fleet);
    let cfg = SpreadConfig {
        readers: 6,
        all_read: 16,
        ..SpreadConfig::default()
    };
    let reads = |n: &usize| {
        let mut rng = SmallRng::seed_from_u64(1);
        let mut role = ReaderRole::new(&cfg, &mut rng);
        role.set_placement(Placement::find(&all, &id(*n), &domain(*n)));
        role.is_reader()
    };
    assert_eq!((0..case.fleet).filter(reads).count(), case.expected);
}

#[test]
fn ranks_take_over_one_after_the_other() {
    let all = list(0..60);
    let mut roles: Vec<ReaderRole> = (0..60).step_by(3).map(|n| role(&all, n)).collect();
    roles.sort_by_key(ReaderRole::rank);
    let step = SpreadConfig::default().takeover_step;
    for pair in roles[2..].windows(2) {
        assert!(pair[1].takeover_age() >= pair[0].takeover_age() + step);
    }
    assert!(roles[0].is_chosen() && roles[1].is_chosen() && !roles[2].is_chosen());
    let takeover_age = roles[2].takeover_age();
    assert!(roles[2].try_take_over(takeover_age) && roles[2].is_reader());
    assert!(!roles[3].try_take_over(takeover_age));
    // It yields to a node that ranks before it, not to a node that ranks after it.
    assert!(!roles[2].yield_to(3, Duration::ZERO));
    assert!(roles[2].yield_to(1, Duration::ZERO) && !roles[2].is_reader());
}
