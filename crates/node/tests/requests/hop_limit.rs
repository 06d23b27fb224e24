//! Calls of targets that call other targets.

use std::sync::atomic::Ordering;

use http::StatusCode;

use crate::calling_target;
use crate::client;
use crate::fleet::DESK;
use crate::fleet::Fleet;
use crate::fleet::Spec;

/// A desk with more slots than a chain of calls occupies.
const DESK_WITH_MANY_SLOTS: Spec = Spec { slots: 40, ..DESK };

/// Bound on the nodes that forward a call.
const MAX_HOPS: u32 = 24;

/// Guards against a loop of calls that occupies every slot.
#[tokio::test]
async fn a_loop_of_calls_ends_at_the_hop_limit_without_extra_runs() {
    let (addr, target) = calling_target::start().await;
    let fleet = Fleet::start_with_shared_target(&[DESK_WITH_MANY_SLOTS], addr).await;
    let desk = &fleet.members[0];
    target
        .egress
        .set(desk.addrs.egress)
        .expect("an egress that is set once");
    let req = client::get("/desk/loop", "r-1");
    let res = client::call(desk.addrs.ingress, req).await;
    assert_eq!(res.expect("an answer").status(), StatusCode::LOOP_DETECTED);
    assert_eq!(target.runs.load(Ordering::Relaxed), MAX_HOPS);
}
