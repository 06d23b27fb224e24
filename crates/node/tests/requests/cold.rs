//! Cold targets.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use http::StatusCode;
use sassafrasspool_core::TargetGeneration;
use sassafrasspool_core::TargetId;

use crate::client;
use crate::fleet::DESK;
use crate::fleet::Fleet;
use crate::fleet::Spec;

const SECOND: Spec = Spec { id: "wd-2", ..DESK };

const THIRD: Spec = Spec { id: "wd-3", ..DESK };

const SPECS: [Spec; 3] = [DESK, SECOND, THIRD];

/// Requests a second that a cold target bears.
const PER_S: usize = 20;

/// How long a cold target may be sent at once what it bears in that time.
const BURST: Duration = Duration::from_millis(500);

const COLD_START: &str = "    cold_start: {lasts_ms: 2500, per_s: 20}\n";

const COLD_FOR: Duration = Duration::from_millis(2_500);

fn life(n: u64) -> TargetGeneration {
    TargetGeneration {
        id: TargetId::new(&format!("i-{n}")).expect("a name"),
        listed_revision: n,
        started_ms: None,
    }
}

/// The most requests that began in any second.
fn most_in_a_second(mut begun_us: Vec<u64>) -> usize {
    begun_us.sort_unstable();
    let until = |from: u64| begun_us.partition_point(|us| *us < from + 1_000_000);
    let counts = begun_us.iter().enumerate();
    let counts = counts.map(|(first, from)| until(*from) - first);
    counts.max().unwrap_or(0)
}

/// Guards against the crash of cold targets under the load of warm ones, which came from
/// all nodes together.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cold_targets_get_no_more_than_they_bear_from_all_nodes_together() {
    let fleet = Fleet::start(&SPECS).await;
    let cold = |n: u64| (Some(life(n)), COLD_FOR);
    // The first starts are listed as the nodes start; the second ones follow them.
    fleet.publish_targets(&SPECS, 2, COLD_START, [cold(1), cold(2), cold(3)]);
    let published = SystemTime::now();
    let end = Instant::now() + COLD_FOR;
    fleet.publish_targets(&SPECS, 3, COLD_START, [cold(4), cold(5), cold(6)]);
    let mut callers = Vec::new();
    for (n, member) in fleet.members.iter().cycle().take(60).enumerate() {
        let ingress = member.addrs.ingress;
        callers.push(tokio::spawn(async move {
            let mut refused = 0;
            for turn in 0.. {
                if Instant::now() >= end {
                    break;
                }
                let req = client::get("/desk/lodge", &format!("r-{n}-{turn}"));
                let res = client::call(ingress, req).await.expect("an answer");
                if res.status() == StatusCode::SERVICE_UNAVAILABLE {
                    assert_eq!(client::header(&res, "x-sassafrasspool-outcome"), "not-run");
                    refused += 1;
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            }
            refused
        }));
    }
    let mut refused = 0;
    for caller in callers {
        refused += caller.await.expect("a task");
    }
    assert!(refused > 0, "the load was no more than cold targets bear");
    let warm = published.duration_since(UNIX_EPOCH).expect("a time") + COLD_FOR;
    let warm_us = warm.as_micros() as u64;
    let bound = PER_S + PER_S * BURST.as_millis() as usize / 1_000 + 1;
    for member in &fleet.members {
        let runs = member.target.ledger().runs;
        let begun_us = runs.iter().map(|run| run.started_us);
        let begun_us: Vec<u64> = begun_us.filter(|us| *us < warm_us).collect();
        let given = begun_us.len();
        let most = most_in_a_second(begun_us);
        assert!(most <= bound, "{} got {most}, at most {bound}", member.id);
        // What they bear is given out.
        let least = PER_S * COLD_FOR.as_millis() as usize / 1_000 * 7 / 10;
        assert!(given >= least, "{} got only {given}", member.id);
    }
}
