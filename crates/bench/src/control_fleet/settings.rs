//! Settings of the fleet's nodes.

use std::net::SocketAddr;

use miette::miette;
use sassafrasspool_core::Instance;
use sassafrasspool_node::NodeAddrs;
use sassafrasspool_node::Settings;

use super::Tuning;

/// Settings that all nodes of a fleet share.
#[derive(Debug, Clone)]
pub(crate) struct CommonSettings {
    pub(crate) platform: SocketAddr,
    pub(crate) target: SocketAddr,
    pub(crate) naive: bool,
    pub(crate) tuning: Tuning,
}

impl CommonSettings {
    /// Settings of the node of `instance`.
    pub(super) fn settings(
        &self,
        instance: &Instance,
        addrs: NodeAddrs,
        seeds: &[SocketAddr],
    ) -> miette::Result<Settings> {
        let text = self.text(instance, addrs, seeds);
        Settings::parse(&text).map_err(|faults| miette!("invalid node settings: {faults}"))
    }

    /// The settings of the node of `instance` as YAML.
    pub(crate) fn text(
        &self,
        instance: &Instance,
        addrs: NodeAddrs,
        seeds: &[SocketAddr],
    ) -> String {
        let mut spread = self.tuning.entries();
        if self.naive {
            spread.push("strategy: naive".to_owned());
        }
        let seeds: Vec<String> = seeds.iter().map(ToString::to_string).collect();
        [
            format!("instance: {}", instance.id),
            format!("service: {}", instance.service),
            format!("region: {}", instance.region),
            format!("domain: {}", instance.domain),
            format!("listen: {{{}}}", listen(addrs)),
            format!(
                "target: {{addr: {}, slots: {}, ready_path: /healthz}}",
                self.target, instance.slots
            ),
            format!("platform: {{addr: {}}}", self.platform),
            format!("seeds: [{}]", seeds.join(", ")),
            format!("spread: {{{}}}", spread.join(", ")),
            "traffic_threads: 1".to_owned(),
            "log: {level: error}".to_owned(),
        ]
        .join("\n")
    }
}

fn listen(addrs: NodeAddrs) -> String {
    format!(
        "ingress: {}, egress: {}, traffic: {}, control: {}, admin: {}",
        addrs.ingress, addrs.egress, addrs.traffic, addrs.control, addrs.admin
    )
}
