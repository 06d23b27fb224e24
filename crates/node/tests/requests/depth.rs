//! Calls that lead to calls.

use std::sync::atomic::Ordering;

use http::StatusCode;

use crate::calling_target;
use crate::client;
use crate::fleet::DESK;
use crate::fleet::Fleet;
use crate::fleet::Spec;

/// A desk with more slots than a chain of calls takes.
const WIDE: Spec = Spec { slots: 40, ..DESK };

/// Nodes that a call may pass.
const MAX_HOPS: u32 = 24;

/// Guards against a loop of routes that takes every slot.
#[tokio::test]
async fn a_loop_of_calls_ends_and_does_not_multiply() {
    let (addr, target) = calling_target::start().await;
    let fleet = Fleet::start_before(&[WIDE], addr).await;
    let desk = &fleet.members[0];
    target.egress.set(desk.addrs.egress).expect("once");
    let req = client::get("/desk/loop", "r-1");
    let res = client::call(desk.addrs.ingress, req).await;
    assert_eq!(res.expect("an answer").status(), StatusCode::LOOP_DETECTED);
    assert_eq!(target.runs.load(Ordering::Relaxed), MAX_HOPS);
}
