use std::time::Duration;

use super::net::Net;
use super::net::good;
use super::net::joined_net;
use crate::AuditEvent;

const MINUTE: Duration = Duration::from_secs(60);

/// Cuts the nodes of one failure domain off from the others.
fn cut(net: &mut Net) {
    for n in (0..net.group.len()).filter(|n| n % 3 == 0) {
        net.group[n] = 1;
    }
}

fn heal(net: &mut Net) {
    net.group.fill(0);
    net.cut_off.clear();
}

/// Guards against a failure domain that stays behind after a long partition.
#[test]
fn a_domain_that_was_cut_off_for_an_hour_catches_up() {
    let mut net = joined_net(30, 1);
    cut(&mut net);
    net.cut_off = vec![1];
    for revision in 2..12 {
        net.publish(revision, &good(revision));
        net.run_for(6 * MINUTE);
    }
    assert_eq!(net.node(0).revision(), 1);
    assert_eq!(net.node(1).revision(), 11);
    heal(&mut net);
    net.run_until(Duration::from_secs(20), |net| net.all_at(11));
    net.assert_no_step_back();
}

/// Guards against failure domains without a reader of their own in a partition.
#[test]
fn domains_that_lost_each_other_follow_by_their_own_readers() {
    let mut net = joined_net(30, 2);
    cut(&mut net);
    for revision in 2..6 {
        net.publish(revision, &good(revision));
        net.run_until(Duration::from_secs(10), |net| net.all_at(revision));
    }
}

/// Guards against old versions that a woken process announces as news.
#[test]
fn a_process_that_slept_wakes_to_the_newest_version() {
    for sleeper in 0..12 {
        let mut net = joined_net(12, 3);
        net.run_for(Duration::from_secs(10));
        net.pause(sleeper);
        for revision in 2..6 {
            net.publish(revision, &good(revision));
            net.run_for(MINUTE);
        }
        assert_eq!(net.node(sleeper).revision(), 1);
        let told = net.node(sleeper).announced.len();
        net.resume(sleeper);
        net.run_until(Duration::from_secs(3), |net| net.all_at(5));
        net.run_for(MINUTE);
        let told = &net.node(sleeper).announced[told..];
        assert!(told.iter().all(|revision| *revision == 5), "{told:?}");
        net.assert_no_step_back();
        let slept = |event: &AuditEvent| matches!(event, AuditEvent::Paused { .. });
        assert!(net.node(sleeper).audit.iter().any(slept));
    }
}

/// Guards against old answers that woken readers take for new ones.
#[test]
fn readers_that_slept_bring_nothing_old() {
    let mut net = joined_net(30, 4);
    net.run_for(Duration::from_secs(10));
    let readers = net.readers();
    for n in &readers {
        net.pause(*n);
    }
    for revision in 2..5 {
        net.publish(revision, &good(revision));
        net.run_for(2 * MINUTE);
    }
    let awake = |net: &Net, n: usize| !net.node(n).paused;
    assert!(
        (0..30)
            .filter(|n| awake(&net, *n))
            .all(|n| net.node(n).revision() == 4)
    );
    for n in &readers {
        net.resume(*n);
        net.run_for(Duration::from_millis(20));
    }
    net.run_until(Duration::from_secs(5), |net| net.all_at(4));
    net.assert_no_step_back();
}

/// Guards against deltas that arrive twice, crossed or not at all.
#[test]
fn crossed_and_doubled_deltas_lead_to_the_same_version() {
    for seed in 1..6 {
        let mut net = joined_net(20, seed);
        net.loss_percent = 33;
        net.double_percent = 33;
        for revision in 2..60 {
            net.publish(revision, &good(revision));
            net.run_for(Duration::from_millis(3));
        }
        net.loss_percent = 0;
        net.run_until(Duration::from_secs(20), |net| net.all_at(59));
        net.assert_no_step_back();
        let damaged = |event: &AuditEvent| matches!(event, AuditEvent::BodyRefused { .. });
        assert!(!net.up().any(|node| node.audit.iter().any(damaged)));
    }
}
