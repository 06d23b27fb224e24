//! The settings files of a worker's processes.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use sassafrasspool_core::DomainName;
use sassafrasspool_core::Instance;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::RegionName;
use sassafrasspool_core::ServiceName;
use sassafrasspool_standin::target::HEALTH_PATH;
use serde::Serialize;

use super::TargetAddrs;

/// Threads that move a node's requests; a demo runs many nodes on one machine.
const TRAFFIC_THREADS: u32 = 1;
/// How long a planned stop may take, in milliseconds.
const DRAIN_BOUND_MS: u64 = 10_000;
/// How long a target refuses work after its start, in milliseconds.
const COLD_START_MS: u64 = 150;
/// How long a new connection to a target takes, in milliseconds.
const CONNECT_MS: u64 = 1;

/// How long the platform may hold a read, in milliseconds.
const WATCH_MS: u64 = 500;
/// Time between two comparisons with a peer, in milliseconds.
const INTERVAL_MS: u64 = 300;
/// Age of the newest contact at which others begin to read, in milliseconds.
const CONTACT_BOUND_MS: u64 = 1_500;
/// Nodes that are assumed until the list is known. The more a restarted node
/// assumes, the longer it may wait for its first read.
const ASSUMED_FLEET: u32 = 20;
/// How old the proof may be that the instance list is in force, in
/// milliseconds: two watches and some comparisons.
const LEASE_MS: u64 = 2_000;
/// How long callers may use a key, in milliseconds; they use none for longer
/// than two of their timeouts.
const HOLD_MS: u64 = 12_000;

/// A node's settings.
///
/// The times are shorter than the defaults. A node that became the owner of a
/// key waits for two leases before it runs the first request with it, which
/// by default is longer than the whole demo. The price is in the control bytes.
#[derive(Debug, Serialize)]
pub(super) struct NodeFile<'a> {
    instance: &'a InstanceId,
    service: &'a ServiceName,
    region: &'a RegionName,
    domain: &'a DomainName,
    listen: Listen,
    target: NodeTarget,
    platform: NodePlatform,
    spread: NodeSpread,
    repeat: NodeRepeat,
    traffic_threads: u32,
    log: NodeLog,
    drain: NodeDrain,
}

/// Where a node listens.
#[derive(Debug, Clone, Copy, Serialize)]
pub(in crate::demo) struct Listen {
    /// For callers from outside.
    pub(in crate::demo) ingress: SocketAddr,
    /// For the calls of its target.
    pub(in crate::demo) egress: SocketAddr,
    /// For requests of other nodes.
    pub(in crate::demo) traffic: SocketAddr,
    /// For control messages.
    pub(in crate::demo) control: SocketAddr,
    /// For operators.
    pub(in crate::demo) admin: SocketAddr,
}

#[derive(Debug, Serialize)]
struct NodeTarget {
    addr: SocketAddr,
    slots: u32,
    connections: u32,
    ready_path: &'static str,
    probe_ms: u64,
}

#[derive(Debug, Serialize)]
struct NodePlatform {
    addr: SocketAddr,
}

#[derive(Debug, Serialize)]
struct NodeSpread {
    interval_ms: u64,
    watch_ms: u64,
    contact_bound_ms: u64,
    assumed_fleet: u32,
}

#[derive(Debug, Serialize)]
struct NodeRepeat {
    hold_ms: u64,
    lease_ms: u64,
}

#[derive(Debug, Serialize)]
struct NodeLog {
    format: &'static str,
}

#[derive(Debug, Serialize)]
struct NodeDrain {
    bound_ms: u64,
}

impl NodeFile<'_> {
    pub(super) fn of(
        instance: &Instance,
        listen: Listen,
        target: SocketAddr,
        platform: SocketAddr,
    ) -> NodeFile<'_> {
        NodeFile {
            instance: &instance.id,
            service: &instance.service,
            region: &instance.region,
            domain: &instance.domain,
            listen,
            target: NodeTarget {
                addr: target,
                slots: instance.slots,
                // A target that holds few connections bounds them; one that
                // holds many needs no more than its slots.
                connections: instance.connections.min(instance.slots),
                ready_path: HEALTH_PATH,
                probe_ms: 50,
            },
            platform: NodePlatform { addr: platform },
            spread: NodeSpread {
                interval_ms: INTERVAL_MS,
                watch_ms: WATCH_MS,
                contact_bound_ms: CONTACT_BOUND_MS,
                assumed_fleet: ASSUMED_FLEET,
            },
            repeat: NodeRepeat {
                hold_ms: HOLD_MS,
                lease_ms: LEASE_MS,
            },
            traffic_threads: TRAFFIC_THREADS,
            log: NodeLog { format: "text" },
            drain: NodeDrain {
                bound_ms: DRAIN_BOUND_MS,
            },
        }
    }
}

/// How long a target works on what.
#[derive(Debug, Clone, Default, Serialize)]
pub(in crate::demo) struct ServiceFile {
    /// Microseconds by kind.
    pub(in crate::demo) kinds_us: BTreeMap<String, u64>,
}

/// A target's settings.
#[derive(Debug, Serialize)]
pub(super) struct TargetFile<'a> {
    listen: SocketAddr,
    admin: SocketAddr,
    slots: u32,
    connections: u32,
    cold_start_ms: u64,
    connect_ms: u64,
    service: &'a ServiceFile,
}

impl<'a> TargetFile<'a> {
    pub(super) fn of(
        instance: &Instance,
        target: TargetAddrs,
        service: &'a ServiceFile,
    ) -> TargetFile<'a> {
        TargetFile {
            listen: target.listen,
            admin: target.admin,
            slots: instance.slots,
            connections: instance.connections,
            cold_start_ms: COLD_START_MS,
            connect_ms: CONNECT_MS,
            service,
        }
    }
}
