//! Builds the response bodies of the admin endpoint from the node's state.

use sassafrasspool_core::BoundRoute;
use sassafrasspool_core::BoundService;
use sassafrasspool_core::Endpoint;
use sassafrasspool_core::Evacuation;
use sassafrasspool_core::Heads;
use sassafrasspool_core::Link;
use sassafrasspool_core::Revision;
use sassafrasspool_core::SpreadStatus;
use sassafrasspool_core::Tick;
use sassafrasspool_wire::admin::EndpointInfo;
use sassafrasspool_wire::admin::EvacuationInfo;
use sassafrasspool_wire::admin::LinkInfo;
use sassafrasspool_wire::admin::QuarantineInfo;
use sassafrasspool_wire::admin::QuarantinedInfo;
use sassafrasspool_wire::admin::RouteInfo;
use sassafrasspool_wire::admin::ServiceInfo;
use sassafrasspool_wire::admin::SnapshotInfo;
use sassafrasspool_wire::admin::Status;
use sassafrasspool_wire::admin::StreamVersions;
use sassafrasspool_wire::admin::Versions;

use super::AdminServer;
use crate::View;

/// A summary of the node's state.
pub(super) fn status(admin: &AdminServer, spread: &SpreadStatus) -> Status {
    let settings = &admin.settings;
    let shared = &admin.context.shared;
    let uptime = shared.clock().now().since(Tick::ZERO);
    Status {
        instance: settings.instance.clone(),
        service: settings.service.clone(),
        region: settings.region.clone(),
        domain: settings.domain.clone(),
        incarnation: shared.incarnation().get(),
        phase: shared.phase(),
        joined: spread.joined,
        reading: spread.reading,
        held: versions_in_force(admin),
        evacuations: evacuations(admin),
        in_flight: shared.in_flight().count(),
        link: shared.link().map(|it| link(it, shared.clock().now())),
        peers: spread.peers as u64,
        source_age_ms: spread.source_age.map(|age| age.as_millis() as u64),
        uptime_ms: uptime.as_millis() as u64,
        control: admin.context.counts.stats(),
    }
}

fn link(link: &Link, now: Tick) -> LinkInfo {
    let totals = link.totals();
    LinkInfo {
        delay_ms: u64::try_from(link.report(now).delay.as_millis()).unwrap_or(u64::MAX),
        transfers: link.count() as u64,
        large_bytes: totals.large_bytes,
        other_bytes: totals.other_bytes,
        refusals: totals.refusals,
    }
}

fn evacuations(admin: &AdminServer) -> Vec<EvacuationInfo> {
    let view = admin.context.shared.view();
    let found = view.iter().flat_map(|view| view.snapshot.evacuations());
    let info = |it: &Evacuation| EvacuationInfo {
        domain: it.domain.clone(),
        since_revision: it.since.map(Revision::get),
    };
    found.map(info).collect()
}

/// The requests in quarantine.
pub(super) fn quarantine(admin: &AdminServer) -> QuarantineInfo {
    let shared = &admin.context.shared;
    let held = shared.quarantine().list(shared.clock().now());
    let held = held.into_iter().map(|(content, left)| QuarantinedInfo {
        content: content.to_string(),
        left_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
    });
    QuarantineInfo {
        instance: shared.me().clone(),
        held: held.collect(),
    }
}

/// The versions in force and the newest advertised versions.
pub(super) fn versions(admin: &AdminServer, spread: &SpreadStatus) -> Versions {
    Versions {
        instance: admin.settings.instance.clone(),
        held: versions_in_force(admin),
        heard: advertised_versions(&spread.advertised),
        refused: spread.refused.map(Into::into),
        refusals: spread.refusals,
        conflicts: spread.conflicts,
    }
}

/// The services and routes in force.
pub(super) fn snapshot(view: &View) -> SnapshotInfo {
    let services = view.snapshot.services();
    SnapshotInfo {
        held: held_versions(view),
        services: services.map(|(_, it)| service(view, it)).collect(),
        routes: view.snapshot.routes().map(route).collect(),
    }
}

/// The versions that a view was built from.
pub(super) fn held_versions(view: &View) -> StreamVersions {
    StreamVersions {
        catalogue: Some(view.snapshot.catalogue().into()),
        instances: Some(view.snapshot.instances().into()),
    }
}

/// A route of the snapshot.
pub(super) fn route(bound: &BoundRoute) -> RouteInfo {
    let route = &bound.route;
    RouteInfo {
        host: route.host.clone(),
        path: route.path.clone(),
        service: route.service.clone(),
        split: route.split.clone(),
        kind: route.kind.clone(),
        weight: bound.weight,
        class: route.class,
        idempotent: route.idempotent,
        homes: route.homes.regions().to_vec(),
        timeout_ms: route
            .timeout
            .map(|time| u64::try_from(time.as_millis()).unwrap_or(u64::MAX)),
    }
}

/// A service of the snapshot with the known phases of its endpoints.
pub(super) fn service(view: &View, bound: &BoundService) -> ServiceInfo {
    let endpoints = view.snapshot.endpoints_of(bound);
    ServiceInfo {
        name: bound.entry.name.clone(),
        owner: bound.entry.owner.clone(),
        class: bound.entry.class,
        endpoints: endpoints.map(|(_, it)| endpoint(view, it)).collect(),
    }
}

fn endpoint(view: &View, endpoint: &Endpoint) -> EndpointInfo {
    let instance = &endpoint.instance;
    EndpointInfo {
        instance: instance.id.clone(),
        region: instance.region.clone(),
        domain: instance.domain.clone(),
        evacuated: view.snapshot.is_evacuated(&instance.domain),
        traffic: instance.traffic,
        slots: instance.slots,
        listed: instance.state,
        phase: view.phase(&instance.id),
    }
}

/// The versions that requests are routed by now.
fn versions_in_force(admin: &AdminServer) -> StreamVersions {
    let view = admin.context.shared.view();
    view.map(|view| held_versions(&view)).unwrap_or_default()
}

fn advertised_versions(heads: &Heads) -> StreamVersions {
    StreamVersions {
        catalogue: heads.catalogue.map(Into::into),
        instances: heads.instances.map(Into::into),
    }
}
