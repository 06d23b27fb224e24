//! Lines of the request log, above all of requests that end without an answer.

use std::time::Duration;

use http::StatusCode;
use sassafrasspool_standin::CapturedOutput;
use sassafrasspool_wire::log::ENDED_AT_CALLER;
use sassafrasspool_wire::log::ENDED_AT_TARGET;
use sassafrasspool_wire::log::RequestLine;

use crate::client;
use crate::fleet::ADJUSTER;
use crate::fleet::DESK;
use crate::fleet::Fleet;
use crate::wait;

/// Outcome, step, reason and instance of each line in which a request ended.
fn end_lines(written: &CapturedOutput, id: &str) -> Vec<[String; 4]> {
    event_lines(written, id, ENDED_AT_CALLER)
}

/// Outcome, step, reason and instance of each line of an event of a request.
fn event_lines(written: &CapturedOutput, id: &str, event: &str) -> Vec<[String; 4]> {
    let text = written.text();
    let lines = text.lines().map(|line| {
        let line: RequestLine<'_> = serde_json::from_str(line).expect("a valid log line");
        line
    });
    let matching = lines.filter(|line| line.request == id && line.event == event);
    matching
        .map(|line| {
            let fields = [Some(line.outcome), line.step, line.reason, line.instance];
            fields.map(|field| field.unwrap_or_default().into_owned())
        })
        .collect()
}

/// A fleet with a caller that disconnected from the desk's node while the adjuster ran its
/// request.
async fn fleet_with_disconnected_caller() -> Fleet {
    let fleet = Fleet::start(&[DESK, ADJUSTER]).await;
    let [desk, adjuster] = &fleet.members[..] else {
        panic!("the fleet has two members");
    };
    adjuster.target.set_slow(Duration::from_secs(60)).await;
    let req = client::get("/adjuster/files", "left");
    let call = tokio::spawn(client::call(desk.addrs.ingress, req));
    wait::until("a run", || adjuster.target.stats().inflight == 1).await;
    call.abort();
    fleet
}

/// Guards against a request that is missing in the log because its caller disconnected.
#[tokio::test]
async fn a_request_of_a_disconnected_caller_is_logged() {
    let fleet = fleet_with_disconnected_caller().await;
    let lines = || end_lines(&fleet.members[0].written, "left");
    wait::until("the log line", || !lines().is_empty()).await;
    let expected = ["unknown", "forward", "caller-gone", "ad-1"].map(str::to_owned);
    assert_eq!(lines(), [expected]);
}

/// Guards against a run that is missing in the log of the target's node because its caller
/// disconnected.
#[tokio::test]
async fn a_request_of_a_disconnected_caller_is_logged_on_the_target_node() {
    let fleet = fleet_with_disconnected_caller().await;
    let lines = || event_lines(&fleet.members[1].written, "left", ENDED_AT_TARGET);
    wait::until("the log line", || !lines().is_empty()).await;
    let expected = ["unknown", "forward", "caller-gone", ""].map(str::to_owned);
    assert_eq!(lines(), [expected]);
}

/// Guards against a 404 that is missing in the log.
#[tokio::test]
async fn a_request_without_a_route_is_logged() {
    let fleet = Fleet::start(&[DESK]).await;
    let desk = &fleet.members[0];
    let req = client::get("/nowhere", "lost");
    let res = client::call(desk.addrs.ingress, req).await;
    assert_eq!(res.expect("an answer").status(), StatusCode::NOT_FOUND);
    wait::until("the log line", || {
        !end_lines(&desk.written, "lost").is_empty()
    })
    .await;
    let expected = ["not-run", "route", "no-route", ""].map(str::to_owned);
    assert_eq!(end_lines(&desk.written, "lost"), [expected]);
}

/// Guards against a 404 whose line doesn't contain the revision of the catalogue.
#[tokio::test]
async fn the_line_of_a_request_without_a_route_contains_the_revisions_in_force() {
    let fleet = Fleet::start(&[DESK]).await;
    let desk = &fleet.members[0];
    let req = client::get("/nowhere", "early");
    client::call(desk.addrs.ingress, req)
        .await
        .expect("an answer");
    wait::until("the log line", || {
        !end_lines(&desk.written, "early").is_empty()
    })
    .await;
    let text = desk.written.text();
    let mut lines = text
        .lines()
        .map(|line| serde_json::from_str(line).expect("a valid log line"));
    let line: RequestLine<'_> = lines
        .rfind(|line: &RequestLine<'_>| line.request == "early")
        .expect("the log line");
    assert!(line.catalogue.is_some() && line.list.is_some(), "{line:?}");
    assert!(line.catalogue_ms.is_some(), "{line:?}");
    assert_eq!((line.heard, line.heard_ms), (None, None));
}

/// Guards against a second end line when the resources of an answered request are dropped.
#[tokio::test]
async fn an_answered_request_has_one_end_line() {
    let fleet = Fleet::start(&[DESK]).await;
    let desk = &fleet.members[0];
    let req = client::get("/desk/files", "whole");
    let res = client::call(desk.addrs.ingress, req).await;
    let status = res.expect("an answer").status();
    wait::until("the log line", || {
        !end_lines(&desk.written, "whole").is_empty()
    })
    .await;
    assert_eq!(end_lines(&desk.written, "whole").len(), 1, "{status}");
}
