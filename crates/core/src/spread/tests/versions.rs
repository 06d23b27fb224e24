use std::time::Duration;

use rstest::rstest;

use super::net::Net;
use super::net::joined_net;
use super::net::valid_catalogue;
use crate::AuditEvent;

const TIMEOUT: Duration = Duration::from_secs(10);
const MINUTE: Duration = Duration::from_secs(60);

/// A bad catalogue, whose route names a service that it doesn't contain.
pub(super) const MISSING_SERVICE: &str = "
kinds: {lookup: {weight: 1}}
services:
  workshop-desk:
    owner: fitting
    class: standard
    limits: {rate_per_s: 100, concurrency: 10, deadline_ms: 1000}
    routes:
      - {path: /, kind: lookup, idempotent: true, service: adjuster-desk}
";

fn rejections(net: &Net, n: usize) -> usize {
    let is_rejection = |event: &&AuditEvent| matches!(event, AuditEvent::Refused { .. });
    net.node(n).audit.iter().filter(is_rejection).count()
}

/// Guards against a bad version that is applied, or that blocks the next one.
#[test]
fn a_bad_version_between_two_good_ones_is_skipped() {
    let mut net = joined_net(30, 1);
    net.publish(2, &valid_catalogue(2));
    net.run_until(TIMEOUT, |net| net.all_at_revision(2));
    net.publish(3, MISSING_SERVICE);
    net.run_for(MINUTE);
    assert!(net.all_at_revision(2));
    let readers = net.readers();
    assert!(readers.iter().all(|n| rejections(&net, *n) == 1));
    net.publish(4, "kinds: [this isn't a catalogue");
    net.run_for(MINUTE);
    assert!(net.all_at_revision(2));
    net.publish(5, &valid_catalogue(5));
    net.run_until(TIMEOUT, |net| net.all_at_revision(5));
    net.assert_no_step_back();
}

/// Guards against a new node that holds no version because the newest one is bad.
#[test]
fn a_node_that_joins_at_a_bad_version_gets_the_last_good_one() {
    let mut net = joined_net(12, 2);
    net.publish(2, &valid_catalogue(2));
    net.run_until(TIMEOUT, |net| net.all_at_revision(2));
    net.publish(3, MISSING_SERVICE);
    net.run_for(MINUTE);
    for n in 0..12 {
        net.start(n);
        net.run_until(TIMEOUT, |net| net.node(n).joined);
        assert_eq!(net.node(n).revision(), 2);
    }
}

/// Guards against a step back to a version that a stale platform serves.
#[rstest]
#[case(false)]
#[case(true)]
fn a_stale_platform_causes_no_step_back(#[case] serves_older: bool) {
    let mut net = joined_net(12, 3);
    net.platform.serves_older = serves_older;
    for revision in 2..5 {
        net.publish(revision, &valid_catalogue(revision));
        net.run_until(TIMEOUT, |net| net.all_at_revision(revision));
    }
    net.platform.stale = Some(1);
    let reads = net.platform.reads.len();
    net.run_for(60 * MINUTE);
    assert!(net.all_at_revision(4));
    let older = |event: &AuditEvent| matches!(event, AuditEvent::OlderIgnored { .. });
    assert!(net.running().any(|node| node.audit.iter().any(older)));
    let reads = net.platform.reads.len() - reads;
    assert!(reads < 12 * 3_600 * 2, "{reads} reads: no node backed off");
    net.platform.stale = None;
    net.publish(5, &valid_catalogue(5));
    net.run_until(TIMEOUT, |net| net.all_at_revision(5));
    net.assert_no_step_back();
}

/// Guards against a stale version in force after a restart while the platform is stale.
#[test]
fn a_node_restarted_at_a_stale_platform_applies_the_version_of_its_peers() {
    let mut net = joined_net(12, 4);
    for revision in 2..5 {
        net.publish(revision, &valid_catalogue(revision));
        net.run_until(TIMEOUT, |net| net.all_at_revision(revision));
    }
    net.platform.stale = Some(1);
    for n in 0..12 {
        net.start(n);
        net.run_until(TIMEOUT, |net| net.node(n).joined);
        assert_eq!(net.node(n).applied[0].0, 4, "node {n}");
    }
    net.assert_no_step_back();
}

/// Guards against an isolated node that never joins, or stays stale, at a stale platform.
#[test]
fn a_node_without_peers_joins_with_the_version_of_a_stale_platform() {
    let mut net = joined_net(6, 5);
    net.publish(2, &valid_catalogue(2));
    net.run_until(TIMEOUT, |net| net.all_at_revision(2));
    net.platform.stale = Some(1);
    net.group[0] = 1;
    net.start(0);
    let took = net.run_until(Duration::from_secs(20), |net| net.node(0).joined);
    assert!(took >= net.cfg.join_bound);
    assert_eq!(net.node(0).revision(), 1);
    net.group[0] = 0;
    net.run_until(TIMEOUT, |net| net.all_at_revision(2));
    net.assert_no_step_back();
}

/// Guards against nodes that stay at different versions after a revision was published
/// with two contents.
#[test]
fn a_conflict_is_audited_and_ends_with_the_next_revision() {
    let mut net = joined_net(12, 6);
    net.publish(2, &valid_catalogue(2));
    net.run_until(TIMEOUT, |net| net.all_at_revision(2));
    let kept = net.node(1).machine.status(net.now).held.catalogue;
    net.platform.replace(2, &valid_catalogue(77));
    for n in net.readers() {
        net.group[n] = 1;
        net.start(n);
    }
    net.run_for(MINUTE);
    net.group.fill(0);
    net.run_for(MINUTE);
    let conflict = |event: &AuditEvent| matches!(event, AuditEvent::Conflict { .. });
    let audited = net.running().filter(|node| node.audit.iter().any(conflict));
    assert!(audited.count() > 0);
    for node in net.running().filter(|node| node.applied[0].0 == 1) {
        let held = node.machine.status(net.now).held.catalogue;
        assert_eq!(held, kept, "the version that arrived first stays");
    }
    net.publish(3, &valid_catalogue(3));
    net.run_until(TIMEOUT, |net| net.all_at_revision(3));
    net.assert_no_step_back();
}
