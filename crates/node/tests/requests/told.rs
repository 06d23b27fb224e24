//! What the log tells of requests whose end isn't an answer.

use std::time::Duration;

use http::StatusCode;
use sassafrasspool_standin::Written;
use sassafrasspool_wire::log::BESIDE;
use sassafrasspool_wire::log::ENDED;
use sassafrasspool_wire::log::RequestLine;

use crate::client;
use crate::fleet::ADJUSTER;
use crate::fleet::DESK;
use crate::fleet::Fleet;
use crate::wait;

/// How a request ended by a log: outcome, step, reason and the instance it was at.
fn ends_of(written: &Written, id: &str) -> Vec<[String; 4]> {
    lines_of(written, id, ENDED)
}

/// The same of the lines of an event.
fn lines_of(written: &Written, id: &str, event: &str) -> Vec<[String; 4]> {
    let text = written.text();
    let lines = text.lines().map(|line| {
        let line: RequestLine<'_> = serde_json::from_str(line).expect("a line");
        line
    });
    let own = lines.filter(|line| line.request == id && line.event == event);
    own.map(|line| {
        let fields = [Some(line.outcome), line.step, line.reason, line.instance];
        fields.map(|field| field.unwrap_or_default().into_owned())
    })
    .collect()
}

/// A fleet whose adjuster ran a request of the desk as its caller left.
async fn left_while_it_ran() -> Fleet {
    let fleet = Fleet::start(&[DESK, ADJUSTER]).await;
    let [desk, adjuster] = &fleet.members[..] else {
        panic!("two members");
    };
    adjuster.target.set_slow(Duration::from_secs(60)).await;
    let req = client::get("/adjuster/files", "left");
    let call = tokio::spawn(client::call(desk.addrs.ingress, req));
    wait::until("a run", || adjuster.target.stats().inflight == 1).await;
    call.abort();
    fleet
}

/// Guards against a request that vanishes from the log since its caller left.
#[tokio::test]
async fn a_request_whose_caller_left_has_its_line() {
    let fleet = left_while_it_ran().await;
    let lines = || ends_of(&fleet.members[0].written, "left");
    wait::until("its line", || !lines().is_empty()).await;
    let told = ["unknown", "forward", "caller-gone", "ad-1"].map(str::to_owned);
    assert_eq!(lines(), [told]);
}

/// Guards against a run that the log beside the target doesn't show, since its caller left.
#[tokio::test]
async fn a_request_whose_caller_left_has_a_line_beside_its_target() {
    let fleet = left_while_it_ran().await;
    let lines = || lines_of(&fleet.members[1].written, "left", BESIDE);
    wait::until("its line", || !lines().is_empty()).await;
    let told = ["unknown", "forward", "caller-gone", ""].map(str::to_owned);
    assert_eq!(lines(), [told]);
}

/// Guards against a 404 that the log doesn't show.
#[tokio::test]
async fn a_request_without_a_route_has_its_line() {
    let fleet = Fleet::start(&[DESK]).await;
    let desk = &fleet.members[0];
    let req = client::get("/nowhere", "lost");
    let res = client::call(desk.addrs.ingress, req).await;
    assert_eq!(res.expect("an answer").status(), StatusCode::NOT_FOUND);
    wait::until("its line", || !ends_of(&desk.written, "lost").is_empty()).await;
    let told = ["not-run", "route", "no-route", ""].map(str::to_owned);
    assert_eq!(ends_of(&desk.written, "lost"), [told]);
}

/// Guards against a 404 whose line doesn't show by which catalogue.
#[tokio::test]
async fn the_line_of_a_request_without_a_route_tells_what_was_in_force() {
    let fleet = Fleet::start(&[DESK]).await;
    let desk = &fleet.members[0];
    let req = client::get("/nowhere", "early");
    client::call(desk.addrs.ingress, req)
        .await
        .expect("an answer");
    wait::until("its line", || !ends_of(&desk.written, "early").is_empty()).await;
    let text = desk.written.text();
    let mut lines = text
        .lines()
        .map(|line| serde_json::from_str(line).expect("a line"));
    let line: RequestLine<'_> = lines
        .rfind(|line: &RequestLine<'_>| line.request == "early")
        .expect("its line");
    assert!(line.catalogue.is_some() && line.list.is_some(), "{line:?}");
    assert!(line.catalogue_ms.is_some(), "{line:?}");
    assert_eq!((line.heard, line.heard_ms), (None, None));
}

// A request that was answered has one end, and not a second one as it is let go.
#[tokio::test]
async fn an_answered_request_ends_once() {
    let fleet = Fleet::start(&[DESK]).await;
    let desk = &fleet.members[0];
    let req = client::get("/desk/files", "whole");
    let res = client::call(desk.addrs.ingress, req).await;
    let status = res.expect("an answer").status();
    wait::until("its line", || !ends_of(&desk.written, "whole").is_empty()).await;
    assert_eq!(ends_of(&desk.written, "whole").len(), 1, "{status}");
}
