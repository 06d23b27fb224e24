//! Node processes, with a platform and a target in this process.

use std::time::Duration;
use std::time::Instant;

use miette::IntoDiagnostic;
use miette::miette;
use sassafrasspool_core::Instance;
use sassafrasspool_core::Version;
use sassafrasspool_node::NodeAddrs;
use sassafrasspool_standin::Platform;
use sassafrasspool_standin::PlatformSettings;
use sassafrasspool_standin::Target;
use sassafrasspool_standin::TargetSettings;
use serde_json::Value;
use tempfile::TempDir;
use tokio_util::sync::CancellationToken;

use crate::control_fleet::CommonSettings;
use crate::control_fleet::Publisher;
use crate::control_fleet::Tuning;
use crate::control_fleet::addrs;
use crate::generate::GeneratedCatalogue;
use crate::generate::GeneratedFleet;
use crate::generate::Shape;
use crate::load::NodeProcess;
use crate::load::admin;
use crate::usage::ProcessUsage;

/// Interval between two reads of a node's status.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Node processes, which are killed when dropped.
#[derive(Debug)]
pub(super) struct NodeProcesses {
    nodes: Vec<RunningNode>,
    pub(super) platform: Platform,
    pub(super) publisher: Publisher,
    _target: Target,
    _dir: TempDir,
}

#[derive(Debug)]
struct RunningNode {
    addrs: NodeAddrs,
    process: NodeProcess,
}

/// Resources that all processes have used so far.
#[derive(Debug, Clone, Copy)]
pub(super) struct ResourceUsage {
    pub(super) at: Instant,
    pub(super) cpu: Duration,
    pub(super) control_bytes: u64,
    pub(super) rss_bytes: u64,
    pub(super) anonymous_bytes: u64,
    pub(super) rss_bytes_max: u64,
}

impl NodeProcesses {
    pub(super) async fn start(nodes: usize, shape: Shape) -> miette::Result<NodeProcesses> {
        let platform = Platform::start(PlatformSettings::default(), CancellationToken::new());
        let platform = platform.await.into_diagnostic()?;
        let target = Target::start(TargetSettings::default(), CancellationToken::new());
        let target = target.await.into_diagnostic()?;
        let common = CommonSettings {
            platform: platform.addr(),
            target: target.addr(),
            naive: false,
            tuning: Tuning::default(),
        };
        let dir = tempfile::tempdir().into_diagnostic()?;
        let mut listed = GeneratedFleet::new(shape)
            .into_diagnostic()?
            .into_instances();
        let mut running = Vec::new();
        for instance in listed.iter_mut().take(nodes) {
            running.push(start_node(&dir, &common, instance)?);
        }
        let generated = GeneratedCatalogue::new(shape).into_diagnostic()?;
        let publisher = Publisher::start(&platform, generated, &listed)?;
        Ok(NodeProcesses {
            nodes: running,
            platform,
            publisher,
            _target: target,
            _dir: dir,
        })
    }

    /// Number of processes.
    pub(super) fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Waits until all nodes hold a catalogue of at least the revision of
    /// `version`.
    pub(super) async fn wait_until_held(
        &self,
        version: Version,
        bound: Duration,
    ) -> miette::Result<()> {
        let since = Instant::now();
        for node in &self.nodes {
            while !holds(node, version).await {
                if since.elapsed() > bound {
                    return Err(miette!("not all nodes hold {version} after {bound:?}"));
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    pub(super) async fn usage(&self) -> miette::Result<ResourceUsage> {
        let mut total = ResourceUsage {
            at: Instant::now(),
            cpu: Duration::ZERO,
            control_bytes: 0,
            rss_bytes: 0,
            anonymous_bytes: 0,
            rss_bytes_max: 0,
        };
        for node in &self.nodes {
            let pid = node.process.pid();
            let usage = ProcessUsage::of(pid.ok_or_else(|| miette!("a node has ended"))?)?;
            total.cpu += usage.cpu;
            total.rss_bytes += usage.rss_bytes;
            total.anonymous_bytes += usage.anonymous_bytes;
            total.rss_bytes_max = total.rss_bytes_max.max(usage.rss_bytes);
            total.control_bytes += control_bytes(node).await;
        }
        Ok(total)
    }
}

fn start_node(
    dir: &TempDir,
    common: &CommonSettings,
    instance: &mut Instance,
) -> miette::Result<RunningNode> {
    let addrs = addrs::allocate()?;
    instance.traffic = addrs.traffic;
    instance.control = addrs.control;
    let file = dir.path().join(format!("{}.yaml", instance.id));
    let log = dir.path().join(format!("{}.log", instance.id));
    std::fs::write(&file, common.text(instance, addrs, &[])).into_diagnostic()?;
    let process = NodeProcess::start(&file, &log).into_diagnostic()?;
    Ok(RunningNode { addrs, process })
}

async fn status(node: &RunningNode) -> Value {
    let status = admin::get(node.addrs.admin, "/status").await;
    status.unwrap_or_default()
}

async fn holds(node: &RunningNode, version: Version) -> bool {
    let status = status(node).await;
    let revision = status["held"]["catalogue"]["revision"].as_u64();
    revision.is_some_and(|held| held >= version.revision().get())
}

async fn control_bytes(node: &RunningNode) -> u64 {
    let status = status(node).await;
    let count = |name: &str| status["control"][name].as_u64().unwrap_or(0);
    count("bytes_in") + count("bytes_out")
}
