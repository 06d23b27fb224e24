//! Quarantine of requests that crash targets, over sockets.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::net::TcpListener as StdListener;
use std::time::Duration;
use std::time::Instant;

use http::StatusCode;
use rstest::rstest;
use sassafrasspool_node::Settings;
use sassafrasspool_standin::TargetSettings;
use sassafrasspool_standin::target::CrashOn;
use sassafrasspool_standin::target::Run;
use sassafrasspool_standin::target::RunEnd;
use sassafrasspool_wire::admin::QUARANTINE_PATH;
use sassafrasspool_wire::admin::QuarantineInfo;
use sassafrasspool_wire::admin::RELEASE_PATH;
use sassafrasspool_wire::admin::ReleaseAnswer;
use tokio::io::copy_bidirectional;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::common::CATALOGUE;
use crate::common::request_text;
use crate::common::slow_target;
use crate::common::try_request_text;
use crate::support::Fleet;
use crate::support::wait_until;

/// Nodes, each with a target of the same service.
const NODES: usize = 5;

/// Path of the requests that crash a target.
const CRASHING_PATH: &str = "/workshop/crashing";

/// Path of requests that never crash a target.
const HARMLESS_PATH: &str = "/workshop/harmless";

/// Crashes after which the request must be in quarantine.
const CRASHES_TO_QUARANTINE: usize = 3;

/// Time from then on in which the quarantine must reach every node.
const DISSEMINATION_TIMEOUT: Duration = Duration::from_secs(3);

/// Bound on the runs of the request after that.
const MAX_LATER_RUNS: usize = 3;

/// Time between two calls.
const CALL_INTERVAL: Duration = Duration::from_millis(40);

/// How late an intermediary closes a connection, longer than a node waits for the close of
/// one that it opens to probe the target.
const CLOSE_DELAY: Duration = Duration::from_millis(200);

/// How long new calls are started.
const CALLING_PERIOD: Duration = Duration::from_secs(8);

/// What disrupts the fleet during the calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Disruption {
    None,
    /// Two nodes crash and restart, then two others.
    Restarts,
    /// Each target refuses all requests for a period after each of its starts.
    ColdStarts,
    /// Two nodes exchange no messages with the others for 2 s, until the others have the
    /// request in quarantine.
    Partition,
}

/// A disruption under which the quarantine must hold.
#[derive(Debug)]
struct DisruptionCase {
    disruption: Disruption,
}

async fn crashing_fleet(cold_start_ms: u64) -> Fleet {
    crashing_fleet_with(cold_start_ms, |_| ()).await
}

async fn crashing_fleet_with(cold_start_ms: u64, change: impl Fn(&mut Settings)) -> Fleet {
    let target = TargetSettings {
        cold_start_ms,
        crash_on: Some(CrashOn {
            path: CRASHING_PATH.to_owned(),
            after_ms: 20,
            down_ms: 300,
        }),
        ..slow_target(Duration::from_millis(30))
    };
    let fleet = Fleet::start_with(NODES, &target, change).await;
    let first = fleet.publish(&CATALOGUE.replace("rate_per_s: 100", "rate_per_s: 1000"));
    fleet.wait_until_in_force(first).await;
    fleet.wait_until_ready().await;
    fleet
}

/// Starts or ends a partition between the control sides of `minority` and all others.
fn set_partitioned(fleet: &Fleet, minority: &[usize], partitioned: bool) {
    let addrs: Vec<SocketAddr> = fleet.nodes.iter().map(|it| it.addrs().control).collect();
    for (n, node) in fleet.nodes.iter().enumerate() {
        let cut = |m: &usize| partitioned && minority.contains(m) != minority.contains(&n);
        let cut: HashSet<SocketAddr> = (0..NODES).filter(cut).map(|m| addrs[m]).collect();
        node.fault_injector().partition_from(cut);
    }
}

async fn disrupt(fleet: &mut Fleet, disruption: Disruption) {
    match disruption {
        Disruption::None | Disruption::ColdStarts => {}
        Disruption::Restarts => {
            tokio::time::sleep(Duration::from_secs(4)).await;
            fleet.crash_and_restart(0..2).await;
            tokio::time::sleep(Duration::from_secs(2)).await;
            fleet.crash_and_restart(2..4).await;
        }
        Disruption::Partition => {
            set_partitioned(fleet, &[0, 1], true);
            tokio::time::sleep(Duration::from_secs(2)).await;
            set_partitioned(fleet, &[0, 1], false);
        }
    }
}

/// Runs of requests for `path` on all targets, in the order of their starts.
fn runs_of_path(fleet: &Fleet, path: &str) -> Vec<Run> {
    let ledgers = fleet.targets.iter().map(|target| target.ledger().runs);
    let mut runs: Vec<Run> = ledgers.flatten().filter(|run| run.path == path).collect();
    runs.sort_by_key(|run| run.started_us);
    runs
}

/// Guards against copies of one request that crash one target after another.
#[rstest]
#[case::without_disruption(DisruptionCase { disruption: Disruption::None })]
// A restarted node has an empty quarantine, and must receive that of its peers before it
// serves.
#[case::node_restarts(DisruptionCase { disruption: Disruption::Restarts })]
// A starting target refuses the request by itself. Counted as an answer, this refusal
// cleared the request, so each restart allowed another three crashes.
#[case::cold_starts_of_targets(DisruptionCase { disruption: Disruption::ColdStarts })]
// Each side of a partition counts the crashes on its own, and receives the reports of the
// other side once the partition heals.
#[case::a_partition(DisruptionCase { disruption: Disruption::Partition })]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_crashes_targets_is_quarantined(#[case] case: DisruptionCase) {
    let cold_start_ms = match case.disruption {
        Disruption::ColdStarts => 150,
        _ => 0,
    };
    let mut fleet = crashing_fleet(cold_start_ms).await;
    let ingress: Vec<SocketAddr> = fleet.nodes.iter().map(|it| it.addrs().ingress).collect();
    let mut callers = JoinSet::new();
    let calling = async {
        let start = Instant::now();
        for n in 0.. {
            if start.elapsed() > CALLING_PERIOD {
                break;
            }
            let addr = ingress[n % NODES];
            callers.spawn(async move { try_request_text("GET", addr, CRASHING_PATH).await });
            tokio::time::sleep(CALL_INTERVAL).await;
        }
    };
    tokio::join!(calling, disrupt(&mut fleet, case.disruption));
    callers.join_all().await;

    let runs = runs_of_path(&fleet, CRASHING_PATH);
    let mut crashed: Vec<u64> = runs
        .iter()
        .filter(|run| run.end == RunEnd::Crashed)
        .filter_map(|run| run.ended_us)
        .collect();
    crashed.sort_unstable();
    assert!(
        crashed.len() >= CRASHES_TO_QUARANTINE,
        "{case:?}: {crashed:?}"
    );
    let effective_us = crashed[CRASHES_TO_QUARANTINE - 1]
        + u64::try_from(DISSEMINATION_TIMEOUT.as_micros()).expect("a time below 2^64 µs");
    let later = runs
        .iter()
        .filter(|run| run.started_us > effective_us)
        .count();
    assert!(
        later <= MAX_LATER_RUNS,
        "{later} runs after the quarantine took effect, {} in all: {case:?}",
        runs.len()
    );
    for node in &fleet.nodes {
        let answered = try_request_text("GET", node.addrs().ingress, HARMLESS_PATH).await;
        let status = answered.map(|(status, _)| status);
        assert_eq!(status, Some(StatusCode::OK), "{case:?}");
    }
    fleet.cancel.cancel();
}

/// Guards against quarantine of a harmless request that was running in crashes of other
/// causes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_in_crashes_of_other_causes_are_not_quarantined() {
    let fleet = crashing_fleet(0).await;
    let call = |n: usize| {
        let addr = fleet.nodes[n % NODES].addrs().ingress;
        tokio::spawn(async move { try_request_text("GET", addr, HARMLESS_PATH).await })
    };
    for round in 0..2 * NODES {
        let calls: Vec<_> = (0..4 * NODES).map(call).collect();
        tokio::time::sleep(Duration::from_millis(15)).await;
        let target = &fleet.targets[round % NODES];
        target.crash().await;
        for call in calls {
            call.await.expect("the task doesn't panic");
        }
        target.restart().await.expect("the target restarts");
    }
    let harmless = runs_of_path(&fleet, HARMLESS_PATH);
    let crashed = harmless
        .iter()
        .filter(|run| run.end == RunEnd::Crashed)
        .count();
    assert!(
        crashed >= CRASHES_TO_QUARANTINE,
        "only {crashed} runs ended in a crash"
    );
    for n in 0..2 * NODES {
        let answered = call(n).await.expect("the task doesn't panic");
        let status = answered.map(|(status, _)| status);
        assert_eq!(status, Some(StatusCode::OK), "node {}", n % NODES);
    }
    fleet.cancel.cancel();
}

/// Guards against quarantine of a request whose answers a running target truncated.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_with_truncated_answers_are_not_quarantined() {
    let fleet = crashing_fleet(0).await;
    for target in &fleet.targets {
        target.set_cut_body(true).await;
    }
    for n in 0..4 * NODES {
        let addr = fleet.nodes[n % NODES].addrs().ingress;
        assert_eq!(try_request_text("GET", addr, HARMLESS_PATH).await, None);
    }
    // Connections that were opened to probe whether the targets run must not stay open.
    let connections = || {
        fleet
            .targets
            .iter()
            .map(|it| it.stats().connections)
            .sum::<u64>()
    };
    wait_until(|| connections() == 0).await;
    for target in &fleet.targets {
        target.set_cut_body(false).await;
    }
    for node in &fleet.nodes {
        let answered = try_request_text("GET", node.addrs().ingress, HARMLESS_PATH).await;
        let status = answered.map(|(status, _)| status);
        assert_eq!(status, Some(StatusCode::OK));
    }
    fleet.cancel.cancel();
}

/// Starts an intermediary before a target, which closes its connections late.
fn start_slow_intermediary(target: SocketAddr) -> SocketAddr {
    let listener = StdListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    listener.set_nonblocking(true).expect("a socket option");
    let listener = TcpListener::from_std(listener).expect("a listener");
    tokio::spawn(async move {
        while let Ok((mut caller, _)) = listener.accept().await {
            tokio::spawn(async move {
                if let Ok(mut conn) = TcpStream::connect(target).await {
                    // A crash of the target ends the copy.
                    let _ = copy_bidirectional(&mut caller, &mut conn).await;
                }
                tokio::time::sleep(CLOSE_DELAY).await;
            });
        }
    });
    addr
}

/// Guards against crashes that aren't reported because the probe of the target stays open for
/// a moment, as on a busy machine.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crashes_behind_a_slow_intermediary_are_reported() {
    let fleet = crashing_fleet_with(0, |cfg| {
        cfg.target.addr = start_slow_intermediary(cfg.target.addr);
    })
    .await;
    let start = Instant::now();
    while quarantine_of(&fleet, 0).await.held.is_empty() {
        assert!(start.elapsed() < CALLING_PERIOD, "no quarantine");
        for node in &fleet.nodes {
            try_request_text("GET", node.addrs().ingress, HARMLESS_PATH).await;
        }
        // Several requests run in each target when it crashes.
        let mut callers = JoinSet::new();
        for n in 0..4 * NODES {
            let addr = fleet.nodes[n % NODES].addrs().ingress;
            callers.spawn(async move { try_request_text("GET", addr, CRASHING_PATH).await });
        }
        callers.join_all().await;
    }
    fleet.cancel.cancel();
}

/// The quarantine of a node.
async fn quarantine_of(fleet: &Fleet, node: usize) -> QuarantineInfo {
    let admin = fleet.nodes[node].addrs().admin;
    let (_, text) = request_text("GET", admin, QUARANTINE_PATH).await;
    serde_json::from_str(&text).expect("JSON of the admin type")
}

/// Waits until so many requests are in quarantine on every node.
async fn wait_until_quarantined(fleet: &Fleet, requests: usize) {
    for node in 0..NODES {
        while quarantine_of(fleet, node).await.held.len() != requests {
            tokio::time::sleep(CALL_INTERVAL).await;
        }
    }
}

/// Guards against a request that stays in quarantine on other nodes after an operator has
/// released it on one node, and against a release of something else than the content of a
/// request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_released_request_runs_again() {
    let fleet = crashing_fleet(0).await;
    while quarantine_of(&fleet, 0).await.held.is_empty() {
        let addr = fleet.nodes[0].addrs().ingress;
        try_request_text("GET", addr, CRASHING_PATH).await;
    }
    wait_until_quarantined(&fleet, 1).await;
    let before = runs_of_path(&fleet, CRASHING_PATH).len();
    let admin = fleet.nodes[1].addrs().admin;
    let release = |content: String| async move {
        let path = format!("{RELEASE_PATH}?content={content}");
        request_text("POST", admin, &path).await
    };
    let (status, _) = release("crashing".to_owned()).await;
    assert_eq!(status, StatusCode::BAD_REQUEST);
    let held = quarantine_of(&fleet, 0).await.held;
    let (status, text) = release(held[0].content.clone()).await;
    assert_eq!(status, StatusCode::OK);
    let answer: ReleaseAnswer = serde_json::from_str(&text).expect("JSON of the admin type");
    assert!(answer.was_held);
    wait_until_quarantined(&fleet, 0).await;
    try_request_text("GET", fleet.nodes[2].addrs().ingress, CRASHING_PATH).await;
    wait_until(|| runs_of_path(&fleet, CRASHING_PATH).len() > before).await;
    fleet.cancel.cancel();
}
