//! Starts a fleet and gives access to its members.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use miette::IntoDiagnostic;
use miette::miette;
use sassafrasspool_core::DomainName;
use sassafrasspool_core::Instance;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::InstanceState;
use sassafrasspool_core::RegionName;
use sassafrasspool_core::ServiceName;
use sassafrasspool_standin::Platform;
use sassafrasspool_standin::PlatformSettings;
use sassafrasspool_standin::Target;
use serde::Serialize;
use tempfile::TempDir;
use tokio::sync::Mutex;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::member::Member;
use super::settings::Listen;
use super::spec::FleetSpec;
use super::spec::InstanceSpec;
use crate::load::LedgerRun;
use crate::load::Link;
use crate::load::Ports;
use crate::load::admin;

/// The region of all instances.
const REGION: &str = "ulaanbaatar";

/// Seed peers in each node's settings.
const SEEDS_PER_NODE: usize = 3;

/// A running fleet. Its processes are killed when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    /// The platform.
    pub platform: Platform,
    /// The instances in the order of their numbers.
    pub members: Vec<Member>,
    dir: TempDir,
    _ports: Ports,
}

impl Fleet {
    /// Starts the platform, all targets and nodes, and waits until each node
    /// is ready.
    ///
    /// # Errors
    ///
    /// Fails if something can't be started or isn't ready in time.
    pub async fn start(fleet_spec: &FleetSpec) -> miette::Result<Fleet> {
        let cancel = CancellationToken::new();
        let platform = Platform::start(PlatformSettings::default(), cancel.clone())
            .await
            .into_diagnostic()?;
        let dir = tempfile::tempdir().into_diagnostic()?;
        let mut builder = MemberBuilder {
            ports: Ports::new(),
            dir: dir.path().to_owned(),
            links: fleet_spec.with_links,
        };
        let mut members = Vec::new();
        for (n, instance_spec) in fleet_spec.instances.iter().enumerate() {
            let target = Target::start(instance_spec.target.clone(), cancel.clone());
            let target = target.await.into_diagnostic()?;
            members.push(builder.build(n, instance_spec, target).await?);
        }
        let fleet = Fleet {
            platform,
            members,
            dir,
            _ports: builder.ports,
        };
        fleet
            .write_settings(fleet_spec.extra_settings)
            .into_diagnostic()?;
        fleet.publish(fleet_spec)?;
        if fleet_spec.with_nodes {
            fleet.start_nodes().await?;
            fleet.wait_until_ready(fleet_spec.ready_timeout).await?;
        }
        Ok(fleet)
    }

    /// The addresses of the nodes for callers.
    pub fn entry_addrs(&self) -> Vec<SocketAddr> {
        self.members.iter().map(|member| member.ingress).collect()
    }

    /// The runs in all targets' ledgers.
    pub fn ledger_runs(&self) -> Vec<LedgerRun> {
        self.members.iter().flat_map(Member::runs).collect()
    }

    /// Waits until every node is ready.
    ///
    /// # Errors
    ///
    /// Fails if one isn't ready after `timeout`. The error names it and has its log.
    pub async fn wait_until_ready(&self, timeout: Duration) -> miette::Result<()> {
        let deadline = Instant::now() + timeout;
        for member in &self.members {
            if !admin::wait_until_ready(member.admin, deadline).await {
                let log = std::fs::read_to_string(&member.log).unwrap_or_default();
                return Err(miette!("{} isn't ready; {log}", member.instance.id));
            }
        }
        Ok(())
    }

    /// Writes a file into the directory of the nodes' logs, one line of JSON for each
    /// item.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be written.
    pub fn write_json_lines<T: Serialize>(&self, name: &str, items: &[T]) -> std::io::Result<()> {
        let mut text = Vec::new();
        for item in items {
            serde_json::to_writer(&mut text, item)?;
            text.push(b'\n');
        }
        std::fs::write(self.dir.path().join(name), text)
    }

    /// Keeps the nodes' settings and logs and gives their directory.
    pub fn keep_logs(self) -> PathBuf {
        self.dir.keep()
    }

    /// Writes each node's settings with some other nodes as seed peers. Without
    /// them, a node that starts in an outage of the platform would never get the
    /// instance list.
    fn write_settings(&self, extra: &str) -> std::io::Result<()> {
        for member in &self.members {
            let others = self.members.iter().filter(|other| other.n != member.n);
            let controls = others.map(|other| other.instance.control);
            let seeds: Vec<SocketAddr> = controls.take(SEEDS_PER_NODE).collect();
            member.write_settings(self.platform.addr(), &seeds, extra)?;
        }
        Ok(())
    }

    fn publish(&self, fleet_spec: &FleetSpec) -> miette::Result<()> {
        let list: Vec<Instance> = self.members.iter().map(|m| m.instance.clone()).collect();
        let catalogue = self.platform.publish_catalogue(&fleet_spec.catalogue);
        catalogue.into_diagnostic()?;
        self.platform.publish_instances(&list).into_diagnostic()?;
        Ok(())
    }

    async fn start_nodes(&self) -> miette::Result<()> {
        for member in &self.members {
            member.start_node().await.into_diagnostic()?;
        }
        Ok(())
    }
}

/// Builds members with free ports and, if required, links.
#[derive(Debug)]
struct MemberBuilder {
    ports: Ports,
    dir: PathBuf,
    links: bool,
}

impl MemberBuilder {
    async fn build(
        &mut self,
        n: usize,
        instance_spec: &InstanceSpec,
        target: Target,
    ) -> miette::Result<Member> {
        let listen = self.reserve_listen().into_diagnostic()?;
        let mut instance = instance(n, instance_spec, listen).into_diagnostic()?;
        let mut links = Vec::new();
        if self.links {
            for addr in [&mut instance.traffic, &mut instance.control] {
                let listed = self.ports.take().into_diagnostic()?;
                let link = Link::start(listed, *addr).await.into_diagnostic()?;
                *addr = link.addr();
                links.push(link);
            }
        }
        Ok(Member {
            n,
            settings: self.dir.join(format!("{}.yaml", instance.id)),
            log: self.dir.join(format!("{}.log", instance.id)),
            instance,
            ingress: listen.ingress,
            admin: listen.admin,
            target,
            links,
            node: Mutex::new(None),
            listen,
        })
    }

    fn reserve_listen(&mut self) -> std::io::Result<Listen> {
        Ok(Listen {
            ingress: self.ports.take()?,
            egress: self.ports.take()?,
            traffic: self.ports.take()?,
            control: self.ports.take()?,
            admin: self.ports.take()?,
        })
    }
}

fn instance(
    n: usize,
    instance_spec: &InstanceSpec,
    listen: Listen,
) -> sassafrasspool_core::Result<Instance> {
    Ok(Instance {
        id: InstanceId::new(&format!("{}-{n}", instance_spec.service))?,
        service: ServiceName::new(&instance_spec.service)?,
        region: RegionName::new(REGION)?,
        domain: DomainName::new(instance_spec.domain)?,
        traffic: listen.traffic,
        control: listen.control,
        slots: instance_spec.target.slots.get(),
        connections: instance_spec.target.connections.get(),
        state: InstanceState::Live,
        target: None,
        cold_for: Duration::ZERO,
    })
}
