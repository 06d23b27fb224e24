//! Explains which route and service a request is matched to.

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

/// Explains the service that `path` is routed to, or else the service that was named.
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
        held: answers::held_versions(view),
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
    let matched = match (path, route) {
        (Some(path), Some(route)) => format!("{path} falls under {}", route.route.path),
        (Some(path), None) => format!("no route takes {path}"),
        (None, _) => "the service was named".to_owned(),
    };
    let name = &bound.entry.name;
    let elsewhere = match service {
        Some(named) if named != name => format!(", not to {named}"),
        _ => String::new(),
    };
    let accepting = info
        .endpoints
        .iter()
        .filter(|it| accepts_requests(it))
        .count();
    let total = info.endpoints.len();
    format!(
        "{matched}, which leads to {name}{elsewhere}; {accepting} of {total} endpoints take requests"
    )
}

/// Whether an endpoint is sent requests: it is listed as live, not evacuated, and the
/// newest phase received for it is `ready`.
fn accepts_requests(endpoint: &EndpointInfo) -> bool {
    let listed = endpoint.listed == InstanceState::Live && !endpoint.evacuated;
    listed && endpoint.phase == Some(Phase::Ready)
}
