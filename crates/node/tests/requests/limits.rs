//! Connection and slot limits of targets.

use std::time::Duration;

use http::StatusCode;
use sassafrasspool_standin::TargetSettings;
use tokio::net::TcpStream;

use crate::client;
use crate::fleet::ADJUSTER;
use crate::fleet::DESK;
use crate::fleet::Fleet;
use crate::fleet::SLOTS;
use crate::wait;

/// Guards against requests that hang or run twice at a target without free connections.
#[tokio::test]
async fn requests_to_a_target_at_its_connection_limit_fail_fast() {
    let cfg = TargetSettings {
        connections: 2.try_into().expect("a valid number"),
        ..TargetSettings::default()
    };
    let fleet = Fleet::start_with_settings(&[DESK, ADJUSTER], cfg).await;
    let adjuster = &fleet.members[1];
    let mut connections = Vec::new();
    for _ in 0..2 {
        connections.push(TcpStream::connect(adjuster.target.addr()).await);
    }
    wait::until("the held connections", || {
        adjuster.target.stats().connections == 2
    })
    .await;
    let ingress = fleet.members[0].addrs.ingress;
    for n in 0..4 {
        let id = format!("r-{n}");
        let req = client::get("/adjuster/approve", &id);
        let res = client::call(ingress, req).await.expect("an answer");
        assert!(res.status().is_server_error());
        assert_ne!(client::header(&res, "x-sassafrasspool-outcome"), "");
        assert_eq!(fleet.runs_of(&id), 0);
    }
    drop(connections);
    wait::until("the closed connections", || {
        adjuster.target.stats().connections == 0
    })
    .await;
    let req = client::get("/adjuster/approve", "after");
    let res = client::call(ingress, req).await.expect("an answer");
    assert_eq!(res.status(), StatusCode::OK);
}

/// Guards against a target that gets more requests than it has slots.
#[tokio::test]
async fn a_target_never_gets_more_requests_than_its_slots() {
    let fleet = Fleet::start(&[DESK, ADJUSTER]).await;
    let adjuster = &fleet.members[1];
    adjuster.target.set_slow(Duration::from_millis(20)).await;
    let mut calls = Vec::new();
    for n in 0..10 * SLOTS {
        let id = format!("r-{n}");
        let req = client::get("/adjuster/approve", &id);
        let call = client::call(fleet.members[0].addrs.ingress, req);
        calls.push((id, tokio::spawn(call)));
    }
    for (id, call) in calls {
        let res = call
            .await
            .expect("the task doesn't panic")
            .expect("an answer");
        match res.status() {
            StatusCode::OK => assert_eq!(adjuster.runs_of(&id).len(), 1),
            _ => {
                assert_eq!(client::header(&res, "x-sassafrasspool-outcome"), "not-run");
                assert_ne!(client::header(&res, "retry-after"), "");
                assert!(adjuster.runs_of(&id).is_empty());
            }
        }
    }
    let stats = adjuster.target.stats();
    assert_eq!(stats.shed, 0);
    assert!(stats.connections_peak <= u64::from(SLOTS), "{stats:?}");
}
