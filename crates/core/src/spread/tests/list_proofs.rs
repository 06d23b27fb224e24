//! Proofs of the time until which no newer list was published.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::net::Net;
use super::net::ample_reads_config;
use super::net::joined_net;
use super::net::joined_net_with;
use super::node;
use crate::ListProof;
use crate::Revision;
use crate::Stream;
use crate::Tick;
use crate::spread::list_proof::NewestListProof;

/// The publication time of each list revision, in microseconds.
struct Publications(Vec<(i64, u64)>);

impl Publications {
    fn publish_without(&mut self, net: &mut Net, left_out: usize) {
        let listed = (0..net.nodes.len()).filter(|n| *n != left_out);
        net.publish_list(listed.map(node::instance).collect());
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

/// Asserts that the proofs of all nodes are true and returns their highest age.
fn assert_proofs(net: &Net, published: &Publications) -> Duration {
    let mut oldest = Duration::ZERO;
    for node in net.running() {
        let Some(proof) = node.machine.status(net.now).list_proof else {
            continue;
        };
        let at = micros(net.now) - i64::from(proof.age_ms) * 1_000;
        let newest = published.newest_at(at);
        assert!(proof.revision.get() >= newest, "{newest} at {at} us");
        oldest = oldest.max(Duration::from_millis(proof.age_ms.into()));
    }
    oldest
}

/// Guards against two owners that run the same request key, because one of them holds
/// a proof from before a pause.
#[test]
fn a_proof_never_covers_a_time_after_a_newer_list() {
    for seed in 0..20 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut net = joined_net(12, seed);
        let revision = net.platform.newest(Stream::Instances);
        let mut published = Publications(vec![(0, revision)]);
        net.loss_percent = 5;
        net.duplicate_percent = 5;
        for _ in 0..300 {
            let n = rng.random_range(0..12);
            match rng.random_range(0..8) {
                0 => published.publish_without(&mut net, n),
                1 => net.pause(n),
                2 | 3 => net.resume(n),
                4 => net.group[n] = rng.random_range(0..2),
                5 => net.cut_off_groups = (rng.random_range(0..3)..3).collect(),
                6 => net.group.fill(0),
                _ => net.cut_off_groups.clear(),
            }
            net.run_for(Duration::from_millis(rng.random_range(1..900)));
            assert_proofs(&net, &published);
        }
    }
}

/// Guards against a stale list that is treated as a proof of the newest.
#[test]
fn a_lagging_answer_is_no_proof() {
    let mut net = joined_net_with(6, 9, ample_reads_config());
    let mut published = Publications(vec![(0, net.platform.newest(Stream::Instances))]);
    published.publish_without(&mut net, 3);
    net.run_for(Duration::from_secs(5));
    net.platform.lag = Some(1);
    net.group[0] = 1;
    net.start(0);
    for _ in 0..500 {
        net.run_for(Duration::from_millis(1));
        assert_proofs(&net, &published);
    }
    let held = net.node(0).machine.status(net.now).held;
    assert!(held.instances.is_some(), "node 0 has read a list");
}

#[test]
fn proofs_reach_every_node_within_the_lease() {
    let mut net = joined_net(100, 1);
    let published = Publications(vec![(0, net.platform.newest(Stream::Instances))]);
    net.run_for(Duration::from_secs(30));
    let mut oldest = Duration::ZERO;
    for _ in 0..300 {
        net.run_for(Duration::from_millis(400));
        oldest = oldest.max(assert_proofs(&net, &published));
    }
    assert!(oldest < crate::DedupSettings::default().lease, "{oldest:?}");
}

/// Guards against an answer that counts as fresh although it was delayed in a buffer.
#[test]
fn the_age_of_a_proof_counts_from_the_start_of_its_read() {
    let proof = |revision, age_ms| {
        Some(ListProof {
            revision: Revision::new(revision).unwrap(),
            age_ms,
        })
    };
    let mut clock = NewestListProof::default();
    assert_eq!(clock.current(Tick::ZERO), None);
    clock.record_peer_proof(Tick::from_millis(10_000), proof(4, 3_000));
    let now = Tick::from_millis(20_000);
    assert_eq!(clock.current(now), proof(4, 13_001));
    clock.record_source_answer(Tick::from_millis(9_000), Revision::new(3).unwrap());
    assert_eq!(clock.current(now), proof(4, 13_001), "of an older list");
    clock.record_source_answer(Tick::from_millis(5_000), Revision::new(5).unwrap());
    assert_eq!(clock.current(now), proof(5, 15_001), "of a newer list");
    clock.record_peer_proof(Tick::ZERO, proof(5, 60_000));
    assert_eq!(
        clock.current(now),
        proof(5, 15_001),
        "from before the start"
    );
}
