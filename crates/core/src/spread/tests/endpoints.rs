use std::time::Duration;

use super::net::Net;
use super::net::joined_net;
use super::net::valid_catalogue;
use super::node;
use crate::EndpointState;
use crate::Phase;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Whether the newest state of the endpoint `of` at node `n` has that phase.
fn has_phase(net: &Net, n: usize, of: usize, phase: Phase) -> bool {
    let received = &net.node(n).states;
    let newest = received.iter().rev().find(|it| it.instance == node::id(of));
    newest.is_some_and(|state| state.phase == phase)
}

fn all_have_phase(net: &Net, of: usize, phase: Phase) -> bool {
    let others = (0..net.nodes.len()).filter(|n| net.nodes[*n].is_some());
    others.into_iter().all(|n| has_phase(net, n, of, phase))
}

/// Guards against callers sent to a draining instance that is listed as live.
#[test]
fn a_draining_instance_is_announced_everywhere_before_the_list_changes() {
    let mut net = joined_net(60, 1);
    net.set_phase(7, Phase::Ready);
    net.run_until(TIMEOUT, |net| all_have_phase(net, 7, Phase::Ready));
    net.set_phase(7, Phase::Draining);
    net.run_until(TIMEOUT, |net| all_have_phase(net, 7, Phase::Draining));
}

/// Guards against a lost announcement that an instance leaves.
#[test]
fn anti_entropy_delivers_a_lost_state_announcement() {
    let mut net = joined_net(30, 2);
    net.set_phase(3, Phase::Ready);
    net.run_until(TIMEOUT, |net| all_have_phase(net, 3, Phase::Ready));
    net.loss_percent = 60;
    net.set_phase(3, Phase::Draining);
    net.run_for(Duration::from_millis(200));
    net.loss_percent = 0;
    net.run_until(Duration::from_secs(20), |net| {
        all_have_phase(net, 3, Phase::Draining)
    });
}

/// Guards against a restarted node that is ignored because its clock was set back.
#[test]
fn a_node_restarted_with_its_clock_set_back_still_announces_its_state() {
    let mut net = joined_net(12, 3);
    net.set_phase(4, Phase::Draining);
    net.run_until(TIMEOUT, |net| all_have_phase(net, 4, Phase::Draining));
    net.stop(4);
    net.run_for(TIMEOUT);
    net.start_at(4, 1_700_000_000_000 - 3_600_000);
    net.run_until(TIMEOUT, |net| net.node(4).joined);
    net.set_phase(4, Phase::Ready);
    net.run_until(TIMEOUT, |net| all_have_phase(net, 4, Phase::Ready));
}

/// Guards against expired records of removed instances that peers send again.
#[test]
fn a_record_of_a_removed_instance_is_not_sent_again() {
    let mut net = joined_net(12, 4);
    net.set_phase(5, Phase::Gone);
    net.run_until(TIMEOUT, |net| all_have_phase(net, 5, Phase::Gone));
    net.stop(5);
    let mut list = net.platform.newest_list();
    list.retain(|instance| instance.id != node::id(5));
    net.publish_list(list);
    net.run_for(Duration::from_secs(180));
    let received: Vec<EndpointState> = net.node(0).states.clone();
    net.publish(2, &valid_catalogue(2));
    net.run_for(Duration::from_secs(60));
    assert_eq!(
        net.node(0).states.len(),
        received.len(),
        "the record was sent again"
    );
}
