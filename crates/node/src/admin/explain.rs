//! Why a request goes where it goes.

use sassafrasspool_core::BoundRoute;
use sassafrasspool_core::BoundService;
use sassafrasspool_core::InstanceState;
use sassafrasspool_core::Phase;
use sassafrasspool_core::ServiceName;
use sassafrasspool_wire::admin::EndpointInfo;
use sassafrasspool_wire::admin::Explanation;
use sassafrasspool_wire::admin::ServiceInfo;

use super::answers;
use crate::View;

/// Explains a service, a path, or what a path leads to within a service.
pub(super) fn explain(
    view: &View,
    service: Option<&ServiceName>,
    host: Option<&str>,
    path: Option<&str>,
) -> Explanation {
    let snapshot = &view.snapshot;
    let route = path.and_then(|path| snapshot.match_route(host, path));
    let by_route = route.and_then(|route| snapshot.service(route.service));
    let by_name = service.and_then(|name| snapshot.find_service(name));
    let bound = by_route.or_else(|| by_name.map(|(_, bound)| bound));
    let info = bound.map(|bound| answers::service(view, bound));
    Explanation {
        held: answers::held(view),
        route: route.map(answers::route),
        reason: reason(service, path, route, bound, info.as_ref()),
        service: info,
    }
}

fn reason(
    service: Option<&ServiceName>,
    path: Option<&str>,
    route: Option<&BoundRoute>,
    bound: Option<&BoundService>,
    info: Option<&ServiceInfo>,
) -> String {
    let (Some(bound), Some(info)) = (bound, info) else {
        return match (service, path) {
            (Some(name), _) => format!("there is no service {name}"),
            (None, Some(path)) => format!("no route takes {path}"),
            (None, None) => "neither a service nor a path was named".to_owned(),
        };
    };
    let led = match (path, route) {
        (Some(path), Some(route)) => format!("{path} falls under {}", route.route.path),
        (Some(path), None) => format!("no route takes {path}"),
        (None, _) => "the service was named".to_owned(),
    };
    let name = &bound.entry.name;
    let elsewhere = match service {
        Some(asked) if asked != name => format!(", not to {asked}"),
        _ => String::new(),
    };
    let open = info
        .endpoints
        .iter()
        .filter(|it| takes_requests(it))
        .count();
    let all = info.endpoints.len();
    format!("{led}, which leads to {name}{elsewhere}; {open} of {all} endpoints take requests")
}

/// Whether an endpoint may be sent requests, as far as this node knows.
fn takes_requests(endpoint: &EndpointInfo) -> bool {
    let listed = endpoint.listed == InstanceState::Live && !endpoint.evacuated;
    listed && endpoint.phase == Some(Phase::Ready)
}
