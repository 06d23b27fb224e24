use std::time::Duration;

use rstest::rstest;

use super::net::Net;
use super::net::good;
use super::net::joined_net;
use crate::AuditEvent;

const SOON: Duration = Duration::from_secs(10);
const MINUTE: Duration = Duration::from_secs(60);

/// A catalogue whose route names a service that isn't in it.
pub(super) const WITHOUT_SERVICE: &str = "
kinds: {lookup: {weight: 1}}
services:
  workshop-desk:
    owner: fitting
    class: standard
    limits: {rate_per_s: 100, concurrency: 10, deadline_ms: 1000}
    routes:
      - {path: /, kind: lookup, idempotent: true, service: adjuster-desk}
";

fn refusals(net: &Net, n: usize) -> usize {
    let refused = |event: &&AuditEvent| matches!(event, AuditEvent::Refused { .. });
    net.node(n).audit.iter().filter(refused).count()
}

/// Guards against a bad version that is put in force, or that holds up the next one.
#[test]
fn a_bad_version_between_two_good_ones_is_passed_over() {
    let mut net = joined_net(30, 1);
    net.publish(2, &good(2));
    net.run_until(SOON, |net| net.all_at(2));
    net.publish(3, WITHOUT_SERVICE);
    net.run_for(MINUTE);
    assert!(net.all_at(2));
    let readers = net.readers();
    assert!(readers.iter().all(|n| refusals(&net, *n) == 1));
    net.publish(4, "kinds: [this isn't a catalogue");
    net.run_for(MINUTE);
    assert!(net.all_at(2));
    net.publish(5, &good(5));
    net.run_until(SOON, |net| net.all_at(5));
    net.assert_no_step_back();
}

/// Guards against a new node that has nothing since the newest version is bad.
#[test]
fn a_node_that_joins_at_a_bad_version_gets_the_last_good_one() {
    let mut net = joined_net(12, 2);
    net.publish(2, &good(2));
    net.run_until(SOON, |net| net.all_at(2));
    net.publish(3, WITHOUT_SERVICE);
    net.run_for(MINUTE);
    for n in 0..12 {
        net.start(n);
        net.run_until(SOON, |net| net.node(n).joined);
        assert_eq!(net.node(n).revision(), 2);
    }
}

/// Guards against a step back to what a stale platform serves.
#[rstest]
#[case(false)]
#[case(true)]
fn a_stale_platform_takes_nobody_back(#[case] hands_out_old: bool) {
    let mut net = joined_net(12, 3);
    net.platform.hands_out_old = hands_out_old;
    for revision in 2..5 {
        net.publish(revision, &good(revision));
        net.run_until(SOON, |net| net.all_at(revision));
    }
    net.platform.stale = Some(1);
    let reads = net.platform.reads.len();
    net.run_for(60 * MINUTE);
    assert!(net.all_at(4));
    let older = |event: &AuditEvent| matches!(event, AuditEvent::OlderIgnored { .. });
    assert!(net.up().any(|node| node.audit.iter().any(older)));
    let reads = net.platform.reads.len() - reads;
    assert!(reads < 12 * 3_600 * 2, "{reads} reads: nobody slowed down");
    net.platform.stale = None;
    net.publish(5, &good(5));
    net.run_until(SOON, |net| net.all_at(5));
    net.assert_no_step_back();
}

/// Guards against an old version in force after a restart at a stale platform.
#[test]
fn a_node_that_restarts_at_a_stale_platform_takes_what_peers_hold() {
    let mut net = joined_net(12, 4);
    for revision in 2..5 {
        net.publish(revision, &good(revision));
        net.run_until(SOON, |net| net.all_at(revision));
    }
    net.platform.stale = Some(1);
    for n in 0..12 {
        net.start(n);
        net.run_until(SOON, |net| net.node(n).joined);
        assert_eq!(net.node(n).applied[0].0, 4, "node {n}");
    }
    net.assert_no_step_back();
}

/// Guards against a lone node that never starts, or stays behind, at a stale platform.
#[test]
fn a_node_without_peers_joins_at_what_a_stale_platform_gives() {
    let mut net = joined_net(6, 5);
    net.publish(2, &good(2));
    net.run_until(SOON, |net| net.all_at(2));
    net.platform.stale = Some(1);
    net.group[0] = 1;
    net.start(0);
    let took = net.run_until(Duration::from_secs(20), |net| net.node(0).joined);
    assert!(took >= net.cfg.join_bound);
    assert_eq!(net.node(0).revision(), 1);
    net.group[0] = 0;
    net.run_until(SOON, |net| net.all_at(2));
    net.assert_no_step_back();
}

/// Guards against nodes that stay apart after one revision had two contents.
#[test]
fn a_conflict_is_told_and_ends_with_the_next_revision() {
    let mut net = joined_net(12, 6);
    net.publish(2, &good(2));
    net.run_until(SOON, |net| net.all_at(2));
    let kept = net.node(1).machine.status(net.now).held.catalogue;
    net.platform.replace(2, &good(77));
    for n in net.readers() {
        net.group[n] = 1;
        net.start(n);
    }
    net.run_for(MINUTE);
    net.group.fill(0);
    net.run_for(MINUTE);
    let conflict = |event: &AuditEvent| matches!(event, AuditEvent::Conflict { .. });
    let told = net.up().filter(|node| node.audit.iter().any(conflict));
    assert!(told.count() > 0);
    for node in net.up().filter(|node| node.applied[0].0 == 1) {
        let held = node.machine.status(net.now).held.catalogue;
        assert_eq!(held, kept, "what came first stays");
    }
    net.publish(3, &good(3));
    net.run_until(SOON, |net| net.all_at(3));
    net.assert_no_step_back();
}
