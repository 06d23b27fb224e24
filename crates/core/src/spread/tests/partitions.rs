use std::time::Duration;

use super::net::Net;
use super::net::joined_net;
use super::net::valid_catalogue;
use crate::AuditEvent;

const MINUTE: Duration = Duration::from_secs(60);

/// Partitions the nodes of one failure domain from the others.
fn partition(net: &mut Net) {
    for n in (0..net.group.len()).filter(|n| n % 3 == 0) {
        net.group[n] = 1;
    }
}

fn heal(net: &mut Net) {
    net.group.fill(0);
    net.cut_off_groups.clear();
}

/// Guards against a failure domain that stays stale after a long partition.
#[test]
fn a_domain_that_was_cut_off_for_an_hour_catches_up() {
    let mut net = joined_net(30, 1);
    partition(&mut net);
    net.cut_off_groups = vec![1];
    for revision in 2..12 {
        net.publish(revision, &valid_catalogue(revision));
        net.run_for(6 * MINUTE);
    }
    assert_eq!(net.node(0).revision(), 1);
    assert_eq!(net.node(1).revision(), 11);
    heal(&mut net);
    net.run_until(Duration::from_secs(20), |net| net.all_at_revision(11));
    net.assert_no_step_back();
}

/// Guards against failure domains without a reader of their own in a partition.
#[test]
fn partitioned_domains_follow_through_their_own_readers() {
    let mut net = joined_net(30, 2);
    partition(&mut net);
    for revision in 2..6 {
        net.publish(revision, &valid_catalogue(revision));
        net.run_until(Duration::from_secs(10), |net| net.all_at_revision(revision));
    }
}

/// Guards against stale versions that a resumed process announces as new.
#[test]
fn a_resumed_process_gets_and_announces_only_the_newest_version() {
    for paused in 0..12 {
        let mut net = joined_net(12, 3);
        net.run_for(Duration::from_secs(10));
        net.pause(paused);
        for revision in 2..6 {
            net.publish(revision, &valid_catalogue(revision));
            net.run_for(MINUTE);
        }
        assert_eq!(net.node(paused).revision(), 1);
        let announced_before = net.node(paused).announced_revisions.len();
        net.resume(paused);
        net.run_until(Duration::from_secs(3), |net| net.all_at_revision(5));
        net.run_for(MINUTE);
        let announced = &net.node(paused).announced_revisions[announced_before..];
        assert!(
            announced.iter().all(|revision| *revision == 5),
            "{announced:?}"
        );
        net.assert_no_step_back();
        let was_paused = |event: &AuditEvent| matches!(event, AuditEvent::Paused { .. });
        assert!(net.node(paused).audit.iter().any(was_paused));
    }
}

/// Guards against stale answers that resumed readers treat as new.
#[test]
fn resumed_readers_cause_no_step_back() {
    let mut net = joined_net(30, 4);
    net.run_for(Duration::from_secs(10));
    let readers = net.readers();
    for n in &readers {
        net.pause(*n);
    }
    for revision in 2..5 {
        net.publish(revision, &valid_catalogue(revision));
        net.run_for(2 * MINUTE);
    }
    let is_running = |net: &Net, n: usize| !net.node(n).paused;
    assert!(
        (0..30)
            .filter(|n| is_running(&net, *n))
            .all(|n| net.node(n).revision() == 4)
    );
    for n in &readers {
        net.resume(*n);
        net.run_for(Duration::from_millis(20));
    }
    net.run_until(Duration::from_secs(5), |net| net.all_at_revision(4));
    net.assert_no_step_back();
}

/// Guards against deltas that arrive twice, out of order or not at all.
#[test]
fn reordered_and_duplicated_deltas_lead_to_the_same_version() {
    for seed in 1..6 {
        let mut net = joined_net(20, seed);
        net.loss_percent = 33;
        net.duplicate_percent = 33;
        for revision in 2..60 {
            net.publish(revision, &valid_catalogue(revision));
            net.run_for(Duration::from_millis(3));
        }
        net.loss_percent = 0;
        net.run_until(Duration::from_secs(20), |net| net.all_at_revision(59));
        net.assert_no_step_back();
        let damaged = |event: &AuditEvent| matches!(event, AuditEvent::BodyRefused { .. });
        assert!(!net.running().any(|node| node.audit.iter().any(damaged)));
    }
}
