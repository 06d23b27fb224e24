//! Targets that take no work by themselves.

use http::StatusCode;

use crate::client;
use crate::fleet::DESK;
use crate::fleet::Fleet;
use crate::fleet::Spec;

const SECOND: Spec = Spec { id: "wd-2", ..DESK };

/// Lookups, one after the other.
const LOOKUPS: usize = 60;

/// Failures in a row after which an endpoint is left out, and some for the one
/// that is tried when it comes back.
const MOST_FAILED: usize = 10;

/// Guards against a failing target that draws all requests since it fails fast.
#[tokio::test]
async fn a_target_that_drains_by_itself_draws_no_work() {
    let fleet = Fleet::start(&[DESK, SECOND]).await;
    fleet.members[0].target.set_drain(true).await;
    let ingress = fleet.members[1].addrs.ingress;
    let mut failed = 0;
    for n in 0..LOOKUPS {
        let req = client::get("/desk/policy", &format!("r-{n}"));
        let res = client::call(ingress, req).await.expect("an answer");
        failed += usize::from(res.status() != StatusCode::OK);
    }
    assert!(failed <= MOST_FAILED, "{failed} of {LOOKUPS} failed");
}
