use std::time::Duration;

use super::net::Net;
use super::net::good;
use super::net::joined_net;
use super::node;
use crate::EndpointState;
use crate::Phase;

const SECONDS: Duration = Duration::from_secs(5);

fn knows(net: &Net, knower: usize, of: usize, phase: Phase) -> bool {
    let heard = &net.node(knower).states;
    let newest = heard.iter().rev().find(|it| it.instance == node::id(of));
    newest.is_some_and(|state| state.phase == phase)
}

fn all_know(net: &Net, of: usize, phase: Phase) -> bool {
    let others = (0..net.nodes.len()).filter(|n| net.nodes[*n].is_some());
    others.into_iter().all(|n| knows(net, n, of, phase))
}

/// Guards against callers sent to a draining instance that is listed as live.
#[test]
fn a_leaving_instance_is_known_everywhere_before_the_list_says_so() {
    let mut net = joined_net(60, 1);
    net.phase(7, Phase::Ready);
    net.run_until(SECONDS, |net| all_know(net, 7, Phase::Ready));
    net.phase(7, Phase::Draining);
    net.run_until(SECONDS, |net| all_know(net, 7, Phase::Draining));
}

/// Guards against a lost announcement that an instance leaves.
#[test]
fn a_lost_word_is_found_by_comparing() {
    let mut net = joined_net(30, 2);
    net.phase(3, Phase::Ready);
    net.run_until(SECONDS, |net| all_know(net, 3, Phase::Ready));
    net.loss_percent = 60;
    net.phase(3, Phase::Draining);
    net.run_for(Duration::from_millis(200));
    net.loss_percent = 0;
    net.run_until(Duration::from_secs(20), |net| {
        all_know(net, 3, Phase::Draining)
    });
}

/// Guards against a restarted node that is ignored because its clock was set back.
#[test]
fn a_restart_with_the_clock_set_back_is_still_heard() {
    let mut net = joined_net(12, 3);
    net.phase(4, Phase::Draining);
    net.run_until(SECONDS, |net| all_know(net, 4, Phase::Draining));
    net.stop(4);
    net.run_for(SECONDS);
    net.start_at(4, 1_700_000_000_000 - 3_600_000);
    net.run_until(SECONDS, |net| net.node(4).joined);
    net.phase(4, Phase::Ready);
    net.run_until(SECONDS, |net| all_know(net, 4, Phase::Ready));
}

/// Guards against records of stopped instances that nodes bring back to each other.
#[test]
fn a_record_goes_after_the_list_dropped_its_instance() {
    let mut net = joined_net(12, 4);
    net.phase(5, Phase::Gone);
    net.run_until(SECONDS, |net| all_know(net, 5, Phase::Gone));
    net.stop(5);
    let mut list = net.platform.newest_list();
    list.retain(|instance| instance.id != node::id(5));
    net.list(list);
    net.run_for(Duration::from_secs(180));
    let told: Vec<EndpointState> = net.node(0).states.clone();
    net.publish(2, &good(2));
    net.run_for(Duration::from_secs(60));
    assert_eq!(net.node(0).states.len(), told.len(), "it came back");
}
