//! The settings text of a node's process.

use std::net::SocketAddr;

use sassafrasspool_core::Instance;

/// Where a node listens. The instance list may have other addresses, from which links
/// forward connections to these.
#[derive(Debug, Clone, Copy)]
pub struct Listen {
    /// Requests of callers.
    pub ingress: SocketAddr,
    /// Requests of the local target.
    pub egress: SocketAddr,
    /// Requests that other nodes forward.
    pub traffic: SocketAddr,
    /// Control messages of other nodes.
    pub control: SocketAddr,
    /// Admin requests of operators.
    pub admin: SocketAddr,
}

/// The text of a node's settings, with `extra` lines at the end.
pub fn node_settings(
    instance: &Instance,
    listen: Listen,
    target: SocketAddr,
    platform: SocketAddr,
    seeds: &[SocketAddr],
    extra: &str,
) -> String {
    let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
    let seeds = seeds.join(", ");
    let Instance {
        id,
        service,
        region,
        domain,
        slots,
        ..
    } = instance;
    let Listen {
        ingress,
        egress,
        traffic,
        control,
        admin,
    } = listen;
    format!(
        "instance: {id}\n\
         service: {service}\n\
         region: {region}\n\
         domain: {domain}\n\
         listen: {{ingress: \"{ingress}\", egress: \"{egress}\", traffic: \"{traffic}\", \
         control: \"{control}\", admin: \"{admin}\"}}\n\
         target: {{addr: \"{target}\", slots: {slots}, connections: {slots}, ready_path: /healthz}}\n\
         platform: {{addr: \"{platform}\"}}\n\
         seeds: [{seeds}]\n\
         {extra}"
    )
}
