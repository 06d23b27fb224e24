//! Starts the platform and the targets of a run, and writes the settings of the nodes.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use miette::IntoDiagnostic;
use sassafrasspool_bench::chaos::bounds::NODE_SETTINGS;
use sassafrasspool_bench::chaos::catalogue::SERVICES;
use sassafrasspool_bench::load::InstanceSpec;
use sassafrasspool_bench::load::Link;
use sassafrasspool_bench::load::Listen;
use sassafrasspool_bench::load::Ports;
use sassafrasspool_bench::load::node_settings;
use sassafrasspool_core::DomainName;
use sassafrasspool_core::Instance;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::InstanceState;
use sassafrasspool_core::RegionName;
use sassafrasspool_core::ServiceName;
use sassafrasspool_standin::TargetSettings;
use tokio::sync::Mutex;

use super::Member;
use crate::callers::CRASHING_PATH;
use crate::schedule::LinkRole;
use crate::standin::StandIn;
use crate::standin::StandInFiles;

/// The region of all instances.
const REGION: &str = "ulaanbaatar";

/// Slots of each target.
const SLOTS: u32 = 10;

/// Connections of each target. More than its slots, because connections of killed nodes
/// may still be open.
const CONNECTIONS: u32 = 4 * SLOTS;

/// How long a target is down after a request crashed it, in milliseconds.
const CRASH_DOWNTIME_MS: u64 = 300;

/// How long a target refuses requests after each start, in milliseconds.
const COLD_START_MS: u64 = 100;

/// Service times by kind, in microseconds.
const SERVICE_TIMES_US: &str =
    "{approval: 20000, claim: 15000, lookup: 5000, archive: 30000, download: 10000}";

/// Bounds the drain of a node, so that a planned stop ends before the run does.
const DRAIN_SETTINGS: &str = "drain: {bound_ms: 5000}\n";

/// Keeps the log lines of all requests. With the default limit most are dropped, and a missing
/// line would prove nothing about a request.
const LOG_SETTINGS: &str = "log: {bytes_per_s: 4194304}\n";

/// A link that a burst of downloads nearly fills at the default rate of calls. By calculation the
/// other answers and requests take 20 Mbit/s at the nodes of the service with downloads.
const LINK_SETTINGS: &str = "link: {mbps: \"30\"}\nfeatures: [\"return-priority\"]\n";

/// Starts the processes of a fleet, and assigns their ports and files.
#[derive(Debug)]
pub(super) struct FleetBuilder {
    ports: Ports,
    dir: PathBuf,
}

impl FleetBuilder {
    /// Creates a builder that writes its files to `dir`.
    pub(super) fn new(dir: &Path) -> FleetBuilder {
        FleetBuilder {
            ports: Ports::new(),
            dir: dir.to_owned(),
        }
    }

    /// The assigned ports, which stay reserved until the value is dropped.
    pub(super) fn into_ports(self) -> Ports {
        self.ports
    }

    /// Starts the platform.
    pub(super) async fn start_platform(&mut self) -> miette::Result<StandIn> {
        let (addr, admin) = self.take_two_addrs()?;
        self.start_standin("platform", "platform", addr, admin, "")
            .await
    }

    /// Starts the `n`th target and the links of its instance. The node is started later.
    pub(super) async fn start_member(
        &mut self,
        n: usize,
        platform: SocketAddr,
    ) -> miette::Result<Member> {
        let instance_spec =
            InstanceSpec::new(n, SERVICES[n % SERVICES.len()], TargetSettings::default());
        let name = format!("{}-{n}", instance_spec.service);
        let (addr, admin) = self.take_two_addrs()?;
        let extra = format!(
            "slots: {SLOTS}\nconnections: {CONNECTIONS}\ncold_start_ms: {COLD_START_MS}\n\
             service: {{kinds_us: {SERVICE_TIMES_US}}}\n\
             crash_on: {{path: {CRASHING_PATH}, after_ms: 5, down_ms: {CRASH_DOWNTIME_MS}}}\n"
        );
        let target_name = format!("target-{n}");
        let target = self.start_standin("target", &target_name, addr, admin, &extra);
        let target = target.await?;
        let listen = self.take_listen_addrs()?;
        let links = [
            self.start_link(listen.traffic).await?,
            self.start_link(listen.control).await?,
            self.start_link(platform).await?,
            self.start_link(target.addr).await?,
            self.start_link(listen.ingress).await?,
        ];
        let of = |role: LinkRole| links[role as usize].addr();
        let instance = Instance {
            id: InstanceId::new(&name).into_diagnostic()?,
            service: ServiceName::new(&instance_spec.service).into_diagnostic()?,
            region: RegionName::new(REGION).into_diagnostic()?,
            domain: DomainName::new(instance_spec.domain).into_diagnostic()?,
            traffic: of(LinkRole::PeerTraffic),
            control: of(LinkRole::PeerControl),
            slots: SLOTS,
            connections: CONNECTIONS,
            state: InstanceState::Live,
            target: None,
            cold_for: Duration::ZERO,
        };
        let settings = self.dir.join(format!("{name}.yaml"));
        let text = node_settings(
            &instance,
            listen,
            of(LinkRole::Target),
            of(LinkRole::Platform),
            &[],
            &format!("{NODE_SETTINGS}{DRAIN_SETTINGS}{LINK_SETTINGS}{LOG_SETTINGS}"),
        );
        std::fs::write(&settings, text).into_diagnostic()?;
        Ok(Member {
            ingress: listen.ingress,
            linked_ingress: of(LinkRole::Callers),
            admin: listen.admin,
            instance,
            target,
            links,
            node: Mutex::new(None),
            settings,
            log: self.dir.join(format!("{name}.log")),
        })
    }

    async fn start_standin(
        &self,
        subcommand: &'static str,
        name: &str,
        addr: SocketAddr,
        admin: SocketAddr,
        extra: &str,
    ) -> miette::Result<StandIn> {
        let files = StandInFiles {
            subcommand,
            settings: self.dir.join(format!("{name}.yaml")),
            log: self.dir.join(format!("{name}.log")),
        };
        let text = format!("listen: {addr}\nadmin: {admin}\n{extra}");
        std::fs::write(&files.settings, text).into_diagnostic()?;
        StandIn::start(&files, addr, admin).await
    }

    async fn start_link(&mut self, to: SocketAddr) -> miette::Result<Link> {
        let addr = self.ports.take().into_diagnostic()?;
        Link::start(addr, to).await.into_diagnostic()
    }

    fn take_listen_addrs(&mut self) -> miette::Result<Listen> {
        let mut take = || self.ports.take().into_diagnostic();
        Ok(Listen {
            ingress: take()?,
            egress: take()?,
            traffic: take()?,
            control: take()?,
            admin: take()?,
        })
    }

    fn take_two_addrs(&mut self) -> miette::Result<(SocketAddr, SocketAddr)> {
        let mut take = || self.ports.take().into_diagnostic();
        Ok((take()?, take()?))
    }
}
