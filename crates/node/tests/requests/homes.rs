//! Homes: the regions in which the requests of a route may be served.

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
const LOOKUPS_PER_MEMBER: usize = 10;

/// Sends lookups to the ingress of each member; returns their statuses and the number of
/// runs on each target.
async fn send_lookups(fleet: &Fleet, prefix: &str) -> (Vec<StatusCode>, [usize; 3]) {
    let mut statuses = Vec::new();
    let mut runs_by_member = [0; 3];
    for (n, member) in fleet
        .members
        .iter()
        .cycle()
        .take(3 * LOOKUPS_PER_MEMBER)
        .enumerate()
    {
        let id = format!("{prefix}-{n}");
        let req = client::get("/desk/policy", &id);
        let res = client::call(member.addrs.ingress, req).await;
        statuses.push(res.expect("an answer").status());
        for (at, target) in fleet.members.iter().enumerate() {
            runs_by_member[at] += target.runs_of(&id).len();
        }
    }
    (statuses, runs_by_member)
}

/// Homes of the route of lookups, and the regions in which requests are expected to run.
#[derive(Debug)]
struct HomesCase {
    homes: &'static str,
    /// Whether requests run in the region of the first two members, to which most callers
    /// connect, and in the other region.
    runs: (bool, bool),
}

const CASES: [HomesCase; 5] = [
    HomesCase {
        homes: "",
        runs: (true, true),
    },
    HomesCase {
        homes: "homes: [ulaanbaatar], ",
        runs: (true, false),
    },
    HomesCase {
        homes: "homes: [ernakulam], ",
        runs: (false, true),
    },
    HomesCase {
        homes: "homes: [ernakulam, ulaanbaatar], ",
        runs: (true, true),
    },
    HomesCase {
        homes: "homes: [nowhere], ",
        runs: (false, false),
    },
];

/// Guards against requests that run outside the homes of their route, wherever their callers
/// connect, and against refusals of requests that a target in the homes could serve.
#[tokio::test]
async fn requests_are_served_in_the_homes_of_their_route() {
    let fleet = Fleet::start(&SPECS).await;
    for (revision, case) in (2..).zip(&CASES) {
        fleet.publish_with_lookup_fields(&SPECS, revision, case.homes);
        let (statuses, runs_by_member) = send_lookups(&fleet, &format!("r{revision}")).await;
        assert_eq!(
            (
                runs_by_member[0] + runs_by_member[1] > 0,
                runs_by_member[2] > 0
            ),
            case.runs,
            "{case:?}"
        );
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

/// Guards against requests from a node that hasn't received the homes of a route yet, which
/// a target outside them runs.
#[tokio::test]
async fn requests_of_a_stale_node_to_a_region_outside_the_homes_are_refused() {
    let fleet = Fleet::start(&SPECS).await;
    fleet.publish_with_lookup_fields(&SPECS, 2, "homes: [ulaanbaatar], ");
    // In the stale node's list, only the target abroad isn't leaving.
    let [stale, _, abroad] = &fleet.members[..] else {
        panic!("three members");
    };
    let view = fleet.view_of_list(&SPECS, 3, &["wd-1", "wd-2"]);
    stale.shared.set_view(view);
    let mut statuses = Vec::new();
    for n in 0..LOOKUPS_PER_MEMBER {
        let id = format!("late-{n}");
        let req = client::get("/desk/policy", &id);
        let res = client::call(stale.addrs.ingress, req).await;
        statuses.push(res.expect("an answer").status());
        assert_eq!(abroad.runs_of(&id).len(), 0, "{id} ran outside the homes");
    }
    let refused = StatusCode::SERVICE_UNAVAILABLE;
    assert!(statuses.iter().all(|it| *it == refused), "{statuses:?}");
}
