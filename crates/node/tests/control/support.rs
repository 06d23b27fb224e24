//! A few nodes with a platform and targets, all in this process.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use sassafrasspool_core::Instance;
use sassafrasspool_core::Phase;
use sassafrasspool_core::Revision;
use sassafrasspool_core::Stream;
use sassafrasspool_node::Node;
use sassafrasspool_node::RunningNode;
use sassafrasspool_node::Settings;
use sassafrasspool_node::settings::Listen;
use sassafrasspool_standin::Platform;
use sassafrasspool_standin::PlatformSettings;
use sassafrasspool_standin::Target;
use sassafrasspool_standin::TargetSettings;
use tokio::runtime::Handle;
use tokio_util::sync::CancellationToken;

use crate::common::CATALOGUE;
use crate::common::instance;
use crate::common::settings_text;

/// The same with its route to a service that it doesn't have.
pub(crate) fn broken() -> String {
    CATALOGUE.replace("kind: lookup,", "kind: lookup, service: gone-desk,")
}

/// How long anything may take before a test gives up.
const BOUND: Duration = Duration::from_secs(30);

/// A platform with nodes that know of one another.
#[derive(Debug)]
pub(crate) struct Fleet {
    pub(crate) platform: Platform,
    pub(crate) targets: Vec<Target>,
    pub(crate) nodes: Vec<RunningNode>,
    pub(crate) cancel: CancellationToken,
    /// Where its nodes listen. No other fleet does, so that a port that a node
    /// has left is still free when it restarts.
    ip: Ipv4Addr,
    /// Ends each node as a crash does.
    crash: Vec<CancellationToken>,
}

impl Fleet {
    /// Starts nodes and publishes the list of them, but no catalogue.
    pub(crate) async fn start(count: usize) -> Fleet {
        Fleet::start_with(count, &TargetSettings::default(), |_| ()).await
    }

    /// The same with targets that matter and settings that `tune` changes.
    pub(crate) async fn start_with(
        count: usize,
        target: &TargetSettings,
        tune: impl Fn(&mut Settings),
    ) -> Fleet {
        let cancel = CancellationToken::new();
        let platform = Platform::start(PlatformSettings::default(), cancel.clone());
        let platform = platform.await.expect("a platform");
        let mut fleet = Fleet {
            platform,
            targets: Vec::new(),
            nodes: Vec::new(),
            cancel,
            ip: next_ip(),
            crash: Vec::new(),
        };
        for n in 0..count {
            fleet.add(n, target.clone(), &tune).await;
        }
        let listed = |node: &RunningNode| instance(node.settings(), node.addrs());
        let list: Vec<Instance> = fleet.nodes.iter().map(listed).collect();
        let published = fleet.platform.publish_instances(&list);
        published.expect("an instance list");
        fleet
    }

    async fn add(&mut self, n: usize, target: TargetSettings, tune: impl Fn(&mut Settings)) {
        let target = Target::start(target, self.cancel.clone());
        let target = target.await.expect("a target");
        let mut settings = settings(n, target.addr(), self.platform.addr());
        tune(&mut settings);
        let any_port = SocketAddr::from((self.ip, 0));
        settings.listen = Listen {
            ingress: any_port,
            egress: Some(any_port),
            ready: None,
            metrics: None,
            traffic: any_port,
            control: any_port,
            admin: any_port,
        };
        let crash = self.cancel.child_token();
        let node = Node::start_on(&Handle::current(), settings, crash.clone());
        self.targets.push(target);
        self.nodes.push(node.expect("a node"));
        self.crash.push(crash);
    }

    /// Ends some nodes at one moment, without a word to the others, and then
    /// starts them again where they were.
    pub(crate) async fn crash_and_restart(&mut self, which: Range<usize>) {
        for n in which.clone() {
            self.crash[n].cancel();
        }
        for n in which {
            let node = &self.nodes[n];
            node.ended().await.expect("a report");
            let mut settings = node.settings().clone();
            let addrs = node.addrs();
            settings.listen = Listen {
                ingress: addrs.ingress,
                egress: Some(addrs.egress),
                ready: None,
                metrics: None,
                traffic: addrs.traffic,
                control: addrs.control,
                admin: addrs.admin,
            };
            settings.seeds = self.nodes.iter().map(|it| it.addrs().control).collect();
            let crash = self.cancel.child_token();
            let node = Node::start_on(&Handle::current(), settings, crash.clone());
            self.nodes[n] = node.expect("a node");
            self.crash[n] = crash;
        }
    }

    /// Publishes a catalogue.
    pub(crate) fn publish(&self, text: &str) -> Revision {
        self.platform.publish_catalogue(text).expect("published")
    }

    /// Waits until a catalogue is in force on every node.
    pub(crate) async fn until_in_force(&self, revision: Revision) {
        for node in &self.nodes {
            until(|| in_force(node) == Some(revision)).await;
        }
    }

    /// Waits until every node is ready.
    pub(crate) async fn until_ready(&self) {
        for node in &self.nodes {
            until(|| node.shared().phase() == Phase::Ready).await;
        }
    }
}

/// A loopback address that no fleet has used.
fn next_ip() -> Ipv4Addr {
    static USED: AtomicU8 = AtomicU8::new(0);
    Ipv4Addr::new(127, 0, 7, USED.fetch_add(1, Ordering::Relaxed) + 1)
}

/// The revision of the catalogue that is in force on a node.
pub(crate) fn in_force(node: &RunningNode) -> Option<Revision> {
    let snapshot = node.snapshot()?;
    Some(snapshot.catalogue().revision())
}

/// The catalogue's revisions that a node's audit trail tells of, by event.
pub(crate) fn revisions(node: &RunningNode, event: &str) -> Vec<u64> {
    let mut records = node.audit(0).records;
    records.retain(|it| it.event == event && it.stream == Some(Stream::Catalogue));
    let told = records.iter().filter_map(|it| it.version.as_ref());
    told.map(|version| version.revision).collect()
}

/// The settings of node number `n`, whose ports are any free ones.
pub(crate) fn settings(n: usize, target: SocketAddr, platform: SocketAddr) -> Settings {
    Settings::parse(&settings_text(n, target, platform)).expect("settings")
}

/// Waits until `reached` holds.
pub(crate) async fn until(reached: impl Fn() -> bool) {
    let begun = Instant::now();
    while !reached() {
        assert!(begun.elapsed() < BOUND, "it didn't come true in time");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
