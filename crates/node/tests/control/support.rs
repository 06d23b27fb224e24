//! A fleet of nodes with their targets and a platform, all in this process.

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
use crate::common::instance_of;
use crate::common::settings_text;

/// [`CATALOGUE`] with a route to a service that it doesn't contain.
pub(crate) fn catalogue_with_missing_service() -> String {
    CATALOGUE.replace("kind: lookup,", "kind: lookup, service: gone-desk,")
}

/// How long a test waits for a condition before it fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// A platform, and nodes that it lists.
#[derive(Debug)]
pub(crate) struct Fleet {
    pub(crate) platform: Platform,
    pub(crate) targets: Vec<Target>,
    pub(crate) nodes: Vec<RunningNode>,
    pub(crate) cancel: CancellationToken,
    /// Address on which the nodes listen. No other fleet uses it, so that the port of a
    /// stopped node is still free when the node restarts.
    ip: Ipv4Addr,
    /// A token for each node, which ends it as a crash does.
    crash_tokens: Vec<CancellationToken>,
}

impl Fleet {
    /// Starts nodes and publishes a list of them, but no catalogue.
    pub(crate) async fn start(count: usize) -> Fleet {
        Fleet::start_with(count, &TargetSettings::default(), |_| ()).await
    }

    /// Like [`Fleet::start`], with targets of these settings and nodes whose settings
    /// `tune` changes.
    pub(crate) async fn start_with(
        count: usize,
        target: &TargetSettings,
        tune: impl Fn(&mut Settings),
    ) -> Fleet {
        let cancel = CancellationToken::new();
        let platform = Platform::start(PlatformSettings::default(), cancel.clone());
        let platform = platform.await.expect("the platform starts");
        let mut fleet = Fleet {
            platform,
            targets: Vec::new(),
            nodes: Vec::new(),
            cancel,
            ip: next_ip(),
            crash_tokens: Vec::new(),
        };
        for n in 0..count {
            fleet.add_node(n, target.clone(), &tune).await;
        }
        let listed = |node: &RunningNode| instance_of(node.settings(), node.addrs());
        let list: Vec<Instance> = fleet.nodes.iter().map(listed).collect();
        let published = fleet.platform.publish_instances(&list);
        published.expect("a valid instance list");
        fleet
    }

    /// Starts node `n` and its target.
    async fn add_node(&mut self, n: usize, target: TargetSettings, tune: impl Fn(&mut Settings)) {
        let target = Target::start(target, self.cancel.clone());
        let target = target.await.expect("the target starts");
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
        self.nodes.push(node.expect("the node starts"));
        self.crash_tokens.push(crash);
    }

    /// Ends some nodes at the same time, without an announcement to the others, and then
    /// restarts them on the same addresses.
    pub(crate) async fn crash_and_restart(&mut self, which: Range<usize>) {
        for n in which.clone() {
            self.crash_tokens[n].cancel();
        }
        for n in which {
            let node = &self.nodes[n];
            node.wait_until_ended().await.expect("a stop report");
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
            self.nodes[n] = node.expect("the node starts");
            self.crash_tokens[n] = crash;
        }
    }

    /// Publishes a catalogue; returns its revision.
    pub(crate) fn publish(&self, text: &str) -> Revision {
        self.platform
            .publish_catalogue(text)
            .expect("the catalogue is published")
    }

    /// Waits until a catalogue is in force on every node.
    pub(crate) async fn wait_until_in_force(&self, revision: Revision) {
        for node in &self.nodes {
            wait_until(|| revision_in_force(node) == Some(revision)).await;
        }
    }

    /// Waits until every node is ready.
    pub(crate) async fn wait_until_ready(&self) {
        for node in &self.nodes {
            wait_until(|| node.shared().phase() == Phase::Ready).await;
        }
    }
}

/// A loopback address that no fleet has used.
fn next_ip() -> Ipv4Addr {
    static USED: AtomicU8 = AtomicU8::new(0);
    Ipv4Addr::new(127, 0, 7, USED.fetch_add(1, Ordering::Relaxed) + 1)
}

/// The revision of the catalogue that is in force on a node.
pub(crate) fn revision_in_force(node: &RunningNode) -> Option<Revision> {
    let snapshot = node.snapshot()?;
    Some(snapshot.catalogue().revision())
}

/// The catalogue revisions in a node's audit records of this event.
pub(crate) fn audited_revisions(node: &RunningNode, event: &str) -> Vec<u64> {
    let mut records = node.audit(0).records;
    records.retain(|it| it.event == event && it.stream == Some(Stream::Catalogue));
    let versions = records.iter().filter_map(|it| it.version.as_ref());
    versions.map(|version| version.revision).collect()
}

/// The settings of node `n`; each address takes any free port.
pub(crate) fn settings(n: usize, target: SocketAddr, platform: SocketAddr) -> Settings {
    Settings::parse(&settings_text(n, target, platform)).expect("valid settings")
}

/// Waits until `condition` returns true; panics after [`WAIT_TIMEOUT`].
pub(crate) async fn wait_until(condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "the condition isn't met within 30 s"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
