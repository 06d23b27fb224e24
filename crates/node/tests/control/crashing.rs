//! Requests that crash the targets that run them, over sockets.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use http::StatusCode;
use rstest::rstest;
use sassafrasspool_standin::TargetSettings;
use sassafrasspool_standin::target::CrashOn;
use sassafrasspool_standin::target::Run;
use sassafrasspool_standin::target::RunEnd;
use sassafrasspool_wire::admin::QUARANTINE_PATH;
use sassafrasspool_wire::admin::QuarantineInfo;
use sassafrasspool_wire::admin::RELEASE_PATH;
use sassafrasspool_wire::admin::ReleaseAnswer;
use tokio::task::JoinSet;

use crate::common::CATALOGUE;
use crate::common::http_text;
use crate::common::slow_target;
use crate::common::try_http_text;
use crate::support::Fleet;
use crate::support::until;

/// Nodes, each beside a target of the same service.
const NODES: usize = 5;

/// What crashes a target.
const CRASHING: &str = "/workshop/crashing";

/// What doesn't.
const HARMLESS: &str = "/workshop/harmless";

/// Crashes after which such a request is to be known.
const KNOWN_AFTER: usize = 3;

/// How long the nodes have to tell one another from then on.
const TOLD_WITHIN: Duration = Duration::from_secs(3);

/// How often it may be handed to a target after that.
const MOST_LATER: usize = 3;

/// Between one caller and the next.
const EVERY: Duration = Duration::from_millis(40);

/// How long callers come.
const CALLING: Duration = Duration::from_secs(8);

/// What happens to the nodes meanwhile.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    None,
    /// Two of the nodes are killed and start again, twice.
    Restarts,
    /// Targets refuse all work for a while after each start, by themselves.
    ColdStarts,
    /// Two of the nodes hear nothing from the others until the others know.
    Cut,
}

#[derive(Debug)]
struct Crashing {
    trouble: Trouble,
}

async fn crashing_fleet(cold_start_ms: u64) -> Fleet {
    let target = TargetSettings {
        cold_start_ms,
        crash_on: Some(CrashOn {
            path: CRASHING.to_owned(),
            after_ms: 20,
            down_ms: 300,
        }),
        ..slow_target(Duration::from_millis(30))
    };
    let fleet = Fleet::start_with(NODES, &target, |_| ()).await;
    let first = fleet.publish(&CATALOGUE.replace("rate_per_s: 100", "rate_per_s: 1000"));
    fleet.until_in_force(first).await;
    fleet.until_ready().await;
    fleet
}

/// Parts some nodes' control sides from all others, or ends that.
fn part(fleet: &Fleet, cut: &[usize], parted: bool) {
    let addrs: Vec<SocketAddr> = fleet.nodes.iter().map(|it| it.addrs().control).collect();
    for (n, node) in fleet.nodes.iter().enumerate() {
        let away = |m: &usize| parted && cut.contains(m) != cut.contains(&n);
        let away: HashSet<SocketAddr> = (0..NODES).filter(away).map(|m| addrs[m]).collect();
        node.gate().part(away);
    }
}

async fn trouble(fleet: &mut Fleet, trouble: Trouble) {
    match trouble {
        Trouble::None | Trouble::ColdStarts => {}
        Trouble::Restarts => {
            tokio::time::sleep(Duration::from_secs(4)).await;
            fleet.crash_and_restart(0..2).await;
            tokio::time::sleep(Duration::from_secs(2)).await;
            fleet.crash_and_restart(2..4).await;
        }
        Trouble::Cut => {
            part(fleet, &[0, 1], true);
            tokio::time::sleep(Duration::from_secs(2)).await;
            part(fleet, &[0, 1], false);
        }
    }
}

/// Requests of the fleet's targets for a path, in the order of their begin.
fn runs(fleet: &Fleet, path: &str) -> Vec<Run> {
    let ledgers = fleet.targets.iter().map(|target| target.ledger().runs);
    let mut runs: Vec<Run> = ledgers.flatten().filter(|run| run.path == path).collect();
    runs.sort_by_key(|run| run.started_us);
    runs
}

/// Guards against copies of one request that crash target after target.
#[rstest]
#[case::all_are_well(Crashing { trouble: Trouble::None })]
// A node that starts again knows nothing, and has to hear of it before it serves.
#[case::nodes_restart(Crashing { trouble: Trouble::Restarts })]
// A target that starts refuses the request by itself. Taken for an answer to it, that spoke
// for the request, and each restart gave it another three crashes.
#[case::targets_start_cold(Crashing { trouble: Trouble::ColdStarts })]
// Both sides of a cut count for themselves, and one hears from the other when it heals.
#[case::nodes_are_cut_off(Crashing { trouble: Trouble::Cut })]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_crashes_its_targets_is_kept_from_them(#[case] case: Crashing) {
    let cold_start_ms = match case.trouble {
        Trouble::ColdStarts => 150,
        _ => 0,
    };
    let mut fleet = crashing_fleet(cold_start_ms).await;
    let ingress: Vec<SocketAddr> = fleet.nodes.iter().map(|it| it.addrs().ingress).collect();
    let mut callers = JoinSet::new();
    let calling = async {
        let begun = Instant::now();
        for n in 0.. {
            if begun.elapsed() > CALLING {
                break;
            }
            let addr = ingress[n % NODES];
            callers.spawn(async move { try_http_text("GET", addr, CRASHING).await });
            tokio::time::sleep(EVERY).await;
        }
    };
    tokio::join!(calling, trouble(&mut fleet, case.trouble));
    callers.join_all().await;

    let runs = runs(&fleet, CRASHING);
    let mut crashed: Vec<u64> = runs
        .iter()
        .filter(|run| run.end == RunEnd::Crashed)
        .filter_map(|run| run.ended_us)
        .collect();
    crashed.sort_unstable();
    assert!(crashed.len() >= KNOWN_AFTER, "{case:?}: {crashed:?}");
    let told = crashed[KNOWN_AFTER - 1] + u64::try_from(TOLD_WITHIN.as_micros()).expect("a time");
    let later = runs.iter().filter(|run| run.started_us > told).count();
    assert!(
        later <= MOST_LATER,
        "{later} later, {} in all: {case:?}",
        runs.len()
    );
    for node in &fleet.nodes {
        let answered = try_http_text("GET", node.addrs().ingress, HARMLESS).await;
        let status = answered.map(|(status, _)| status);
        assert_eq!(status, Some(StatusCode::OK), "{case:?}");
    }
    fleet.cancel.cancel();
}

/// Guards against a harmless request in quarantine for crashes of other causes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_runs_while_targets_crash_for_other_reasons_is_served_on() {
    let fleet = crashing_fleet(0).await;
    let ask = |n: usize| {
        let addr = fleet.nodes[n % NODES].addrs().ingress;
        tokio::spawn(async move { try_http_text("GET", addr, HARMLESS).await })
    };
    for round in 0..2 * NODES {
        let asked: Vec<_> = (0..4 * NODES).map(ask).collect();
        tokio::time::sleep(Duration::from_millis(15)).await;
        let target = &fleet.targets[round % NODES];
        target.crash().await;
        for asked in asked {
            asked.await.expect("no panic");
        }
        target.restart().await.expect("a start");
    }
    let lost = runs(&fleet, HARMLESS);
    let lost = lost.iter().filter(|run| run.end == RunEnd::Crashed).count();
    assert!(lost >= KNOWN_AFTER, "{lost} were lost");
    for n in 0..2 * NODES {
        let answered = ask(n).await.expect("no panic");
        let status = answered.map(|(status, _)| status);
        assert_eq!(status, Some(StatusCode::OK), "node {}", n % NODES);
    }
    fleet.cancel.cancel();
}

/// Guards against a request in quarantine for answers that were broken off.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_targets_break_off_while_they_stay_up_is_served_on() {
    let fleet = crashing_fleet(0).await;
    for target in &fleet.targets {
        target.set_cut_body(true).await;
    }
    for n in 0..4 * NODES {
        let addr = fleet.nodes[n % NODES].addrs().ingress;
        assert_eq!(try_http_text("GET", addr, HARMLESS).await, None);
    }
    // What was opened to find out whether they are there must not stay open.
    let connections = || {
        fleet
            .targets
            .iter()
            .map(|it| it.stats().connections)
            .sum::<u64>()
    };
    until(|| connections() == 0).await;
    for target in &fleet.targets {
        target.set_cut_body(false).await;
    }
    for node in &fleet.nodes {
        let answered = try_http_text("GET", node.addrs().ingress, HARMLESS).await;
        let status = answered.map(|(status, _)| status);
        assert_eq!(status, Some(StatusCode::OK));
    }
    fleet.cancel.cancel();
}

/// What a node keeps from targets.
async fn quarantined(fleet: &Fleet, node: usize) -> QuarantineInfo {
    let admin = fleet.nodes[node].addrs().admin;
    let (_, text) = http_text("GET", admin, QUARANTINE_PATH).await;
    serde_json::from_str(&text).expect("what operators read")
}

/// Waits until every node keeps so many requests from targets.
async fn until_quarantined(fleet: &Fleet, requests: usize) {
    for node in 0..NODES {
        while quarantined(fleet, node).await.held.len() != requests {
            tokio::time::sleep(EVERY).await;
        }
    }
}

/// Guards against a request that stays in quarantine although an operator has released it
/// at one node, and against a release by something that isn't a request's content.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_released_request_runs_again() {
    let fleet = crashing_fleet(0).await;
    while quarantined(&fleet, 0).await.held.is_empty() {
        let addr = fleet.nodes[0].addrs().ingress;
        try_http_text("GET", addr, CRASHING).await;
    }
    until_quarantined(&fleet, 1).await;
    let before = runs(&fleet, CRASHING).len();
    let admin = fleet.nodes[1].addrs().admin;
    let release = |content: String| async move {
        let path = format!("{RELEASE_PATH}?content={content}");
        http_text("POST", admin, &path).await
    };
    let (status, _) = release("crashing".to_owned()).await;
    assert_eq!(status, StatusCode::BAD_REQUEST);
    let held = quarantined(&fleet, 0).await.held;
    let (status, text) = release(held[0].content.clone()).await;
    assert_eq!(status, StatusCode::OK);
    let answer: ReleaseAnswer = serde_json::from_str(&text).expect("what operators read");
    assert!(answer.was_held);
    until_quarantined(&fleet, 0).await;
    try_http_text("GET", fleet.nodes[2].addrs().ingress, CRASHING).await;
    until(|| runs(&fleet, CRASHING).len() > before).await;
    fleet.cancel.cancel();
}
