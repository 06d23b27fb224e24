//! Forwarding of requests without any fault.

use http::StatusCode;
use sassafrasspool_standin::target::answer_body;

use crate::client;
use crate::fleet::ADJUSTER;
use crate::fleet::DESK;
use crate::fleet::Fleet;

#[tokio::test]
async fn a_request_is_forwarded_over_two_nodes_to_its_target() {
    let fleet = Fleet::start(&[DESK, ADJUSTER]).await;
    let ingress = fleet.members[0].addrs.ingress;
    for n in 0..5 {
        let id = format!("r-{n}");
        let mut req = client::get("/adjuster/files?of=7", &id);
        req.headers_mut().insert(
            "x-answer-bytes",
            "100000".parse().expect("a valid header value"),
        );
        let res = client::call(ingress, req).await.expect("an answer");
        assert_eq!(res.status(), StatusCode::OK);
        assert_eq!(*res.body(), answer_body(&id, 100_000));
        assert_eq!(fleet.members[1].runs_of(&id).len(), 1);
        assert!(fleet.members[0].runs_of(&id).is_empty());
    }
}
