//! What nodes say of up to when nothing newer than a list was published.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::net::Net;
use super::net::ample_reads;
use super::net::joined_net;
use super::net::joined_net_with;
use super::node;
use crate::ListProof;
use crate::Revision;
use crate::Stream;
use crate::Tick;
use crate::spread::list_proof::ListClock;

/// When each revision of the list became the newest.
struct Published(Vec<(i64, u64)>);

impl Published {
    fn list(&mut self, net: &mut Net, leave_out: usize) {
        let listed = (0..net.nodes.len()).filter(|n| *n != leave_out);
        net.list(listed.map(node::instance).collect());
        let revision = net.platform.newest(Stream::Instances);
        self.0.push((micros(net.now), revision));
    }

    fn newest_at(&self, at: i64) -> u64 {
        let before = self.0.iter().rev().find(|(since, _)| *since <= at);
        before.map_or(0, |(_, revision)| *revision)
    }
}

fn micros(tick: Tick) -> i64 {
    i64::try_from(tick.as_micros()).unwrap()
}

/// The greatest age of the proofs of all nodes, each checked to be true.
fn check(net: &Net, published: &Published) -> Duration {
    let mut oldest = Duration::ZERO;
    for node in net.up() {
        let Some(proof) = node.machine.status(net.now).list else {
            continue;
        };
        let at = micros(net.now) - i64::from(proof.age_ms) * 1_000;
        let newest = published.newest_at(at);
        assert!(proof.revision.get() >= newest, "{newest} at {at} us");
        oldest = oldest.max(Duration::from_millis(proof.age_ms.into()));
    }
    oldest
}

/// Guards against two owners that run one request key, by a proof from before a pause.
#[test]
fn a_proof_is_never_fresher_than_what_it_proves() {
    for seed in 0..20 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut net = joined_net(12, seed);
        let revision = net.platform.newest(Stream::Instances);
        let mut published = Published(vec![(0, revision)]);
        net.loss_percent = 5;
        net.double_percent = 5;
        for _ in 0..300 {
            let n = rng.random_range(0..12);
            match rng.random_range(0..8) {
                0 => published.list(&mut net, n),
                1 => net.pause(n),
                2 | 3 => net.resume(n),
                4 => net.group[n] = rng.random_range(0..2),
                5 => net.cut_off = (rng.random_range(0..3)..3).collect(),
                6 => net.group.fill(0),
                _ => net.cut_off.clear(),
            }
            net.run_for(Duration::from_millis(rng.random_range(1..900)));
            check(&net, &published);
        }
    }
}

/// Guards against an old list that is taken for a proof of the newest.
#[test]
fn an_answer_that_may_lag_proves_nothing() {
    let mut net = joined_net_with(6, 9, ample_reads());
    let mut published = Published(vec![(0, net.platform.newest(Stream::Instances))]);
    published.list(&mut net, 3);
    net.run_for(Duration::from_secs(5));
    net.platform.lag = Some(1);
    net.group[0] = 1;
    net.start(0);
    for _ in 0..500 {
        net.run_for(Duration::from_millis(1));
        check(&net, &published);
    }
    let held = net.node(0).machine.status(net.now).held;
    assert!(held.instances.is_some(), "it read a list");
}

#[test]
fn proofs_get_around_within_the_lease() {
    let mut net = joined_net(100, 1);
    let published = Published(vec![(0, net.platform.newest(Stream::Instances))]);
    net.run_for(Duration::from_secs(30));
    let mut oldest = Duration::ZERO;
    for _ in 0..300 {
        net.run_for(Duration::from_millis(400));
        oldest = oldest.max(check(&net, &published));
    }
    assert!(
        oldest < crate::RepeatSettings::default().lease,
        "{oldest:?}"
    );
}

/// Guards against an answer that counts as fresh although it lay in a buffer.
#[test]
fn an_answer_is_no_fresher_than_its_question() {
    let told = |revision, age_ms| {
        Some(ListProof {
            revision: Revision::new(revision).unwrap(),
            age_ms,
        })
    };
    let mut clock = ListClock::default();
    assert_eq!(clock.current(Tick::ZERO), None);
    clock.merge(Tick::from_millis(10_000), told(4, 3_000));
    let now = Tick::from_millis(20_000);
    assert_eq!(clock.current(now), told(4, 13_001));
    clock.prove(Tick::from_millis(9_000), Revision::new(3).unwrap());
    assert_eq!(clock.current(now), told(4, 13_001), "of an older list");
    clock.prove(Tick::from_millis(5_000), Revision::new(5).unwrap());
    assert_eq!(clock.current(now), told(5, 15_001), "of a newer list");
    clock.merge(Tick::ZERO, told(5, 60_000));
    assert_eq!(clock.current(now), told(5, 15_001), "from before the start");
}
