//! The processes of a run, and the links between them.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use miette::IntoDiagnostic;
use miette::miette;
use rustix::process::Signal;
use sassafrasspool_bench::chaos::catalogue;
use sassafrasspool_bench::chaos::catalogue::SERVICES;
use sassafrasspool_bench::load::LedgerRun;
use sassafrasspool_bench::load::Link;
use sassafrasspool_bench::load::Listen;
use sassafrasspool_bench::load::Place;
use sassafrasspool_bench::load::Ports;
use sassafrasspool_bench::load::admin;
use sassafrasspool_bench::load::node_settings;
use sassafrasspool_core::DomainName;
use sassafrasspool_core::Instance;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::InstanceState;
use sassafrasspool_core::RegionName;
use sassafrasspool_core::ServiceName;
use sassafrasspool_standin::TargetSettings;
use serde_json::json;
use tempfile::TempDir;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::time::Instant;

use crate::child::Child;
use crate::schedule::Way;
use crate::standin::StandIn;
use crate::standin::StandInFiles;

/// The node's program.
const NODE: &str = "sassafrasspool-node";

/// The region that all instances stand in.
const REGION: &str = "ulaanbaatar";

/// Slots of each target.
const SLOTS: u32 = 10;

/// How long a target refuses work after each start, in milliseconds.
const COLD_START_MS: u64 = 100;

/// Service times by kind, in microseconds.
const SERVICE_US: &str = "{approval: 20000, claim: 15000, lookup: 5000, archive: 30000}";

/// Leases short enough to end and to be taken up again within a run, proofs of
/// the instance list that come around within a lease, and a planned stop that
/// is over before a run is.
const NODE_SETTINGS: &str = "\
repeat: {lease_ms: 2500, hold_ms: 20000}
spread: {interval_ms: 200, watch_ms: 500, contact_bound_ms: 1000, takeover_step_ms: 100}
drain: {bound_ms: 5000}
";

/// Other nodes that each node's settings name.
const SEEDS: usize = 3;

/// How long the nodes may take until all are ready.
const READY: Duration = Duration::from_secs(30);

/// How often a node that isn't ready is asked again.
const POLL: Duration = Duration::from_millis(20);

/// One instance: a target, the node beside it, and the links to and from them.
#[derive(Debug)]
pub struct Member {
    /// As the platform lists it.
    pub instance: Instance,
    /// Where callers reach its node itself.
    pub ingress: SocketAddr,
    /// Where callers reach it by a link. A link can't refuse a connection as an
    /// ended process does, so that what is lost at a planned stop is judged by
    /// those who come without one.
    pub entry: SocketAddr,
    /// Where its node answers operators.
    pub admin: SocketAddr,
    /// Its target.
    pub target: StandIn,
    links: [Link; 5],
    node: Mutex<Option<Child>>,
    settings: PathBuf,
    log: PathBuf,
}

impl Member {
    /// One of its links.
    pub fn link(&self, way: Way) -> &Link {
        &self.links[way as usize]
    }

    /// Starts its node, and opens the links to it once it listens: one that is
    /// open before takes connections that the system would have refused.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be started or doesn't listen in time.
    pub async fn start_node(&self) -> std::io::Result<()> {
        let args = [
            OsString::from("--settings"),
            self.settings.clone().into_os_string(),
        ];
        let node = Child::start(NODE, &args, &self.log)?;
        *self.node.lock().await = Some(node);
        let end = Instant::now() + READY;
        while let Err(err) = TcpStream::connect(self.ingress).await {
            if Instant::now() >= end {
                return Err(err);
            }
            tokio::time::sleep(POLL).await;
        }
        for way in [Way::PeerTraffic, Way::PeerControl, Way::Callers] {
            self.link(way).open().await?;
        }
        Ok(())
    }

    /// Kills its node; nothing to do if it is down.
    ///
    /// # Errors
    ///
    /// Fails if it can't be killed.
    pub async fn kill_node(&self) -> std::io::Result<()> {
        if let Some(node) = self.node.lock().await.take() {
            node.kill().await?;
        }
        self.close_links().await;
        Ok(())
    }

    /// Asks its node to stop and waits for its end. Returns whether it says
    /// that it cut nothing, as one that is down does. One that the signal ended
    /// before it could take it says nothing: what it cut is in the callers'
    /// records.
    ///
    /// # Errors
    ///
    /// Fails if it can't be signalled.
    pub async fn stop_node(&self) -> std::io::Result<bool> {
        let Some(node) = self.node.lock().await.take() else {
            return Ok(true);
        };
        node.signal(Signal::TERM)?;
        let status = node.wait().await?;
        self.close_links().await;
        Ok(status.code().is_none_or(|code| code == 0))
    }

    /// Signals its node; nothing to do if it is down.
    ///
    /// # Errors
    ///
    /// Fails if the process has ended by itself.
    pub async fn signal_node(&self, signal: Signal) -> std::io::Result<()> {
        match &*self.node.lock().await {
            Some(node) => node.signal(signal),
            None => Ok(()),
        }
    }

    /// Changes its node's settings file in something that matters to nobody.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be written.
    pub fn change_settings(&self, change: u64) -> std::io::Result<()> {
        let text = std::fs::read_to_string(&self.settings)?;
        let kept: Vec<&str> = text.lines().filter(|it| !it.starts_with("log:")).collect();
        let rate = 100_000 + change;
        let text = format!("{}\nlog: {{bytes_per_s: {rate}}}\n", kept.join("\n"));
        std::fs::write(&self.settings, text)
    }

    async fn close_links(&self) {
        for way in [Way::PeerTraffic, Way::PeerControl, Way::Callers] {
            self.link(way).close().await;
        }
    }
}

/// All processes but the callers'; they are killed when this is dropped.
#[derive(Debug)]
pub struct Fleet {
    /// The platform.
    pub platform: StandIn,
    /// The instances in the order of their numbers.
    pub members: Vec<Member>,
    dir: TempDir,
    _ports: Ports,
}

impl Fleet {
    /// Starts the platform, all targets and nodes, and waits until each node is
    /// ready.
    ///
    /// # Errors
    ///
    /// Fails if something can't be started or isn't ready in time.
    pub async fn start(nodes: usize) -> miette::Result<Fleet> {
        let dir = tempfile::tempdir().into_diagnostic()?;
        let mut maker = Maker {
            ports: Ports::new(),
            dir: dir.path().to_owned(),
        };
        let platform = maker.platform().await?;
        let mut members = Vec::new();
        for n in 0..nodes {
            members.push(maker.member(n, platform.addr).await?);
        }
        let fleet = Fleet {
            platform,
            members,
            dir,
            _ports: maker.ports,
        };
        fleet.publish().await?;
        for (n, member) in fleet.members.iter().enumerate() {
            fleet.write_settings(n).into_diagnostic()?;
            member.start_node().await.into_diagnostic()?;
        }
        fleet.until_ready().await?;
        Ok(fleet)
    }

    /// Where files of this run lie.
    pub fn dir(&self) -> &Path {
        self.dir.path()
    }

    /// What all targets ran.
    ///
    /// # Errors
    ///
    /// Fails if a target doesn't answer or its ledger isn't whole.
    pub async fn runs(&self) -> miette::Result<Vec<LedgerRun>> {
        let mut runs = Vec::new();
        for (instance, member) in self.members.iter().enumerate() {
            let pages = member.target.ledger().await?;
            let pages = pages.runs.into_iter();
            runs.extend(pages.map(|run| LedgerRun { instance, run }));
        }
        Ok(runs)
    }

    /// Keeps settings, logs and records after the end, and says where.
    pub fn keep(self) -> PathBuf {
        self.dir.keep()
    }

    /// The body that publishes a list.
    pub fn list_body(list: &[Instance]) -> String {
        json!({ "instances": list }).to_string()
    }

    async fn publish(&self) -> miette::Result<()> {
        let list: Vec<Instance> = self.members.iter().map(|m| m.instance.clone()).collect();
        let platform = &self.platform;
        platform.publish("/catalogue", catalogue::text(0)).await?;
        platform
            .publish("/instances", Fleet::list_body(&list))
            .await
    }

    fn write_settings(&self, n: usize) -> std::io::Result<()> {
        let member = &self.members[n];
        let others = self.members.iter().enumerate();
        let others = others.filter(|(other, _)| *other != n);
        let seeds: Vec<SocketAddr> = others
            .map(|(_, member)| member.instance.control)
            .take(SEEDS)
            .collect();
        let text = std::fs::read_to_string(&member.settings)?;
        std::fs::write(
            &member.settings,
            text.replace("seeds: []", &seeds_line(&seeds)),
        )
    }

    async fn until_ready(&self) -> miette::Result<()> {
        let end = Instant::now() + READY;
        for member in &self.members {
            while !admin::is_ready(member.admin).await {
                if Instant::now() >= end {
                    let log = std::fs::read_to_string(&member.log).unwrap_or_default();
                    return Err(miette!("{} isn't ready; {log}", member.instance.id));
                }
                tokio::time::sleep(POLL).await;
            }
        }
        Ok(())
    }
}

fn seeds_line(seeds: &[SocketAddr]) -> String {
    let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
    format!("seeds: [{}]", seeds.join(", "))
}

/// What members are made with.
#[derive(Debug)]
struct Maker {
    ports: Ports,
    dir: PathBuf,
}

impl Maker {
    async fn platform(&mut self) -> miette::Result<StandIn> {
        let (addr, admin) = self.two_addrs()?;
        self.standin("platform", "platform", addr, admin, "").await
    }

    async fn member(&mut self, n: usize, platform: SocketAddr) -> miette::Result<Member> {
        let place = Place::new(n, SERVICES[n % SERVICES.len()], TargetSettings::default());
        let name = format!("{}-{n}", place.service);
        let (addr, admin) = self.two_addrs()?;
        let more = format!(
            "slots: {SLOTS}\nconnections: {}\ncold_start_ms: {COLD_START_MS}\n\
             service: {{kinds_us: {SERVICE_US}}}\n",
            4 * SLOTS
        );
        let target_name = format!("target-{n}");
        let target = self.standin("target", &target_name, addr, admin, &more);
        let target = target.await?;
        let listen = self.listen()?;
        let links = [
            self.link(listen.traffic).await?,
            self.link(listen.control).await?,
            self.link(platform).await?,
            self.link(target.addr).await?,
            self.link(listen.ingress).await?,
        ];
        let of = |way: Way| links[way as usize].addr();
        let instance = Instance {
            id: InstanceId::new(&name).into_diagnostic()?,
            service: ServiceName::new(&place.service).into_diagnostic()?,
            region: RegionName::new(REGION).into_diagnostic()?,
            domain: DomainName::new(place.domain).into_diagnostic()?,
            traffic: of(Way::PeerTraffic),
            control: of(Way::PeerControl),
            slots: SLOTS,
            connections: 4 * SLOTS,
            state: InstanceState::Live,
            target: None,
        };
        let settings = self.dir.join(format!("{name}.yaml"));
        let text = node_settings(
            &instance,
            listen,
            of(Way::Target),
            of(Way::Platform),
            &[],
            NODE_SETTINGS,
        );
        std::fs::write(&settings, text).into_diagnostic()?;
        Ok(Member {
            ingress: listen.ingress,
            entry: of(Way::Callers),
            admin: listen.admin,
            instance,
            target,
            links,
            node: Mutex::new(None),
            settings,
            log: self.dir.join(format!("{name}.log")),
        })
    }

    async fn standin(
        &self,
        verb: &'static str,
        name: &str,
        addr: SocketAddr,
        admin: SocketAddr,
        more: &str,
    ) -> miette::Result<StandIn> {
        let files = StandInFiles {
            verb,
            settings: self.dir.join(format!("{name}.yaml")),
            log: self.dir.join(format!("{name}.log")),
        };
        let text = format!("listen: {addr}\nadmin: {admin}\n{more}");
        std::fs::write(&files.settings, text).into_diagnostic()?;
        StandIn::start(&files, addr, admin).await
    }

    async fn link(&mut self, to: SocketAddr) -> miette::Result<Link> {
        let addr = self.ports.take().into_diagnostic()?;
        Link::start(addr, to).await.into_diagnostic()
    }

    fn listen(&mut self) -> miette::Result<Listen> {
        let mut take = || self.ports.take().into_diagnostic();
        Ok(Listen {
            ingress: take()?,
            egress: take()?,
            traffic: take()?,
            control: take()?,
            admin: take()?,
        })
    }

    fn two_addrs(&mut self) -> miette::Result<(SocketAddr, SocketAddr)> {
        let mut take = || self.ports.take().into_diagnostic();
        Ok((take()?, take()?))
    }
}
