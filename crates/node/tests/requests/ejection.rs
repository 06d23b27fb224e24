//! Ejection of targets that refuse all requests.

use http::StatusCode;

use crate::client;
use crate::fleet::DESK;
use crate::fleet::Fleet;
use crate::fleet::Spec;

const SECOND: Spec = Spec { id: "wd-2", ..DESK };

/// Lookups, which are sent one after another.
const LOOKUPS: usize = 60;

/// Bound on the failures: the consecutive ones after which an endpoint is ejected, and a
/// few for the requests that probe the endpoint when its ejection ends.
const MAX_FAILED: usize = 10;

/// Guards against a failing target that receives all requests because it fails fast.
#[tokio::test]
async fn a_target_that_refuses_all_requests_is_ejected() {
    let fleet = Fleet::start(&[DESK, SECOND]).await;
    fleet.members[0].target.set_drain(true).await;
    let ingress = fleet.members[1].addrs.ingress;
    let mut failed = 0;
    for n in 0..LOOKUPS {
        let req = client::get("/desk/policy", &format!("r-{n}"));
        let res = client::call(ingress, req).await.expect("an answer");
        failed += usize::from(res.status() != StatusCode::OK);
    }
    assert!(failed <= MAX_FAILED, "{failed} of {LOOKUPS} failed");
}
