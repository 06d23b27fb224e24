//! Routes that may only be served in some regions.

use http::StatusCode;

use crate::client;
use crate::fleet::DESK;
use crate::fleet::Fleet;
use crate::fleet::Spec;

const NEAR: Spec = Spec { id: "wd-2", ..DESK };

const ABROAD: Spec = Spec {
    id: "wd-3",
    region: "ernakulam",
    domain: "kakkanad",
    ..DESK
};

const SPECS: [Spec; 3] = [DESK, NEAR, ABROAD];

/// Lookups sent to each member.
const LOOKUPS: usize = 10;

/// Sends lookups to the ingress of each member; gives their statuses and how many each
/// target ran.
async fn look_up(fleet: &Fleet, name: &str) -> (Vec<StatusCode>, [usize; 3]) {
    let mut statuses = Vec::new();
    let mut ran = [0; 3];
    for (n, member) in fleet.members.iter().cycle().take(3 * LOOKUPS).enumerate() {
        let id = format!("{name}-{n}");
        let req = client::get("/desk/policy", &id);
        let res = client::call(member.addrs.ingress, req).await;
        statuses.push(res.expect("an answer").status());
        for (at, target) in fleet.members.iter().enumerate() {
            ran[at] += target.runs_of(&id).len();
        }
    }
    (statuses, ran)
}

/// Homes of the route for lookups, and what follows.
#[derive(Debug)]
struct Case {
    homes: &'static str,
    /// Whether the targets of the region that most callers connect in run some, and those
    /// abroad.
    runs: (bool, bool),
}

const CASES: [Case; 5] = [
    Case {
        homes: "",
        runs: (true, true),
    },
    Case {
        homes: "homes: [ulaanbaatar], ",
        runs: (true, false),
    },
    Case {
        homes: "homes: [ernakulam], ",
        runs: (false, true),
    },
    Case {
        homes: "homes: [ernakulam, ulaanbaatar], ",
        runs: (true, true),
    },
    Case {
        homes: "homes: [nowhere], ",
        runs: (false, false),
    },
];

/// Guards against requests that leave the regions of their route, wherever their callers
/// connect, and against refusals of those that a region of their route could serve.
#[tokio::test]
async fn requests_are_served_in_the_regions_of_their_route() {
    let fleet = Fleet::start(&SPECS).await;
    for (revision, case) in (2..).zip(&CASES) {
        fleet.publish_lookups(&SPECS, revision, case.homes);
        let (statuses, ran) = look_up(&fleet, &format!("r{revision}")).await;
        assert_eq!((ran[0] + ran[1] > 0, ran[2] > 0), case.runs, "{case:?}");
        let status = match case.runs {
            (false, false) => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::OK,
        };
        assert!(
            statuses.iter().all(|it| *it == status),
            "{case:?}: {statuses:?}"
        );
    }
}

/// Guards against requests from a node that hasn't heard of a route's homes.
#[tokio::test]
async fn what_a_node_behind_sends_to_another_region_is_refused() {
    let fleet = Fleet::start(&SPECS).await;
    fleet.publish_lookups(&SPECS, 2, "homes: [ulaanbaatar], ");
    // By the list that it holds, the target abroad is the only one left.
    let [behind, _, abroad] = &fleet.members[..] else {
        panic!("three members");
    };
    let view = fleet.view(&SPECS, 3, &["wd-1", "wd-2"]);
    behind.shared.set_view(view);
    let mut statuses = Vec::new();
    for n in 0..LOOKUPS {
        let id = format!("late-{n}");
        let req = client::get("/desk/policy", &id);
        let res = client::call(behind.addrs.ingress, req).await;
        statuses.push(res.expect("an answer").status());
        assert_eq!(abroad.runs_of(&id).len(), 0, "{id} ran abroad");
    }
    let refused = StatusCode::SERVICE_UNAVAILABLE;
    assert!(statuses.iter().all(|it| *it == refused), "{statuses:?}");
}
