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

/// Threads that forward a node's requests. One, since a demo runs many nodes on one
/// machine.
const TRAFFIC_THREADS: u32 = 1;
/// How long a drain may take, in milliseconds.
const DRAIN_BOUND_MS: u64 = 10_000;
/// How long a target refuses requests after its start, in milliseconds.
const COLD_START_MS: u64 = 150;
/// How long a new connection to a target takes, in milliseconds.
const CONNECT_MS: u64 = 1;

/// How long the platform may hold a watch open, in milliseconds.
const WATCH_TIMEOUT_MS: u64 = 500;
/// Time between two anti-entropy rounds with a peer, in milliseconds.
const SYNC_INTERVAL_MS: u64 = 300;
/// Age of the newest contact with the platform at which other nodes begin to read
/// from it, in milliseconds.
const CONTACT_BOUND_MS: u64 = 1_500;
/// Number of nodes that a node assumes until it has the instance list. With a larger
/// number, a restarted node may wait longer before its first read.
const ASSUMED_FLEET_NODES: u32 = 20;
/// How old the proof may be that the instance list is in force, in milliseconds.
/// That is the length of two watches and some anti-entropy rounds.
const LEASE_MS: u64 = 2_000;
/// How long a request key is held for deduplication, in milliseconds. Callers use
/// no key for longer than two of their timeouts.
const KEY_HOLD_MS: u64 = 12_000;

/// A node's settings.
///
/// The times are shorter than the defaults. A new owner of a request key waits for
/// two leases before it runs the first request with that key. With the default
/// lease this takes longer than the whole demo. Shorter times cost more control
/// traffic.
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
    /// For requests of callers.
    pub(in crate::demo) ingress: SocketAddr,
    /// For requests of the local target.
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
    pub(super) fn new(
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
                // The target's own limit if it is low. Otherwise one connection
                // for each slot is enough.
                connections: instance.connections.min(instance.slots),
                ready_path: HEALTH_PATH,
                probe_ms: 50,
            },
            platform: NodePlatform { addr: platform },
            spread: NodeSpread {
                interval_ms: SYNC_INTERVAL_MS,
                watch_ms: WATCH_TIMEOUT_MS,
                contact_bound_ms: CONTACT_BOUND_MS,
                assumed_fleet: ASSUMED_FLEET_NODES,
            },
            repeat: NodeRepeat {
                hold_ms: KEY_HOLD_MS,
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

/// How long a target works on requests.
#[derive(Debug, Clone, Default, Serialize)]
pub(in crate::demo) struct ServiceFile {
    /// Service time by kind, in microseconds.
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
    pub(super) fn new(
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
