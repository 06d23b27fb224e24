//! Start and state of the fleet.

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use miette::IntoDiagnostic;
use miette::miette;
use sassafrasspool_core::Instance;
use sassafrasspool_core::Version;
use sassafrasspool_standin::Platform;
use sassafrasspool_standin::PlatformSettings;
use sassafrasspool_standin::Target;
use sassafrasspool_standin::TargetSettings;
use sassafrasspool_wire::admin::ControlStats;
use tokio::runtime::Builder;
use tokio::runtime::Handle;
use tokio::runtime::Runtime;
use tokio_util::sync::CancellationToken;

use super::FleetOptions;
use super::Member;
use super::Publisher;
use super::settings::CommonSettings;
use crate::generate::GeneratedCatalogue;
use crate::generate::GeneratedFleet;
use crate::generate::Shape;
use crate::usage::ThreadUsage;

/// Number of threads that the nodes share.
const NODE_THREADS: usize = 8;

/// Name of the threads that run the nodes.
const NODE_THREAD_NAME: &str = "node";

/// Number of threads of the stand-ins.
const STANDIN_THREADS: usize = 2;

/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Connection limit of the target, which every node probes.
const MAX_TARGET_CONNECTIONS: u32 = 4_096;

/// Nodes, a platform and a target in this process.
#[derive(Debug)]
pub struct ControlFleet {
    members: Arc<Vec<Member>>,
    platform: Platform,
    _target: Target,
    nodes: Runtime,
    _standins: Runtime,
}

impl ControlFleet {
    /// Starts everything and publishes the list and the first catalogue.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be listened on or a value is too large.
    pub fn start(opts: &FleetOptions) -> miette::Result<(ControlFleet, Publisher)> {
        let nodes = runtime(NODE_THREAD_NAME, NODE_THREADS)?;
        let standins = runtime("standin", STANDIN_THREADS)?;
        let cfg = PlatformSettings {
            compress: opts.compress,
            ..PlatformSettings::default()
        };
        let platform = Platform::start(cfg, CancellationToken::new());
        let platform = standins.block_on(platform).into_diagnostic()?;
        let target = Target::start(target_settings()?, CancellationToken::new());
        let target = standins.block_on(target).into_diagnostic()?;
        let common = CommonSettings {
            platform: platform.addr(),
            target: target.addr(),
            naive: opts.naive,
            tuning: opts.tuning,
        };
        let shape = Shape {
            endpoints: opts.shape.endpoints.max(opts.nodes),
            ..opts.shape
        };
        let mut instances = GeneratedFleet::new(shape)
            .into_diagnostic()?
            .into_instances();
        let members = start_members(nodes.handle(), &common, &mut instances[..opts.nodes])?;
        let generated = GeneratedCatalogue::new(shape).into_diagnostic()?;
        let publisher = Publisher::start(&platform, generated, &instances)?;
        let fleet = ControlFleet {
            members: Arc::new(members),
            platform,
            _target: target,
            nodes,
            _standins: standins,
        };
        Ok((fleet, publisher))
    }

    /// All nodes, running or not.
    pub fn members(&self) -> &Arc<Vec<Member>> {
        &self.members
    }

    /// The platform that the nodes read.
    pub fn platform(&self) -> &Platform {
        &self.platform
    }

    /// Handle of the runtime on which the nodes run.
    pub fn handle(&self) -> &Handle {
        self.nodes.handle()
    }

    /// Waits until a catalogue of at least the revision of `version` is in
    /// force on all running members.
    ///
    /// # Errors
    ///
    /// Fails if that takes longer than `bound`.
    pub fn wait_until_in_force(&self, version: Version, timeout: Duration) -> miette::Result<()> {
        let since = Instant::now();
        loop {
            let lagging = self.lagging_members(version);
            if lagging == 0 {
                return Ok(());
            }
            if since.elapsed() > timeout {
                return Err(miette!(
                    "{version} is not in force on {lagging} nodes after {timeout:?}"
                ));
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Number of running members on which the revision of `version` isn't in
    /// force yet.
    pub fn lagging_members(&self, version: Version) -> usize {
        let holds = |member: &&Member| match member.snapshot_in_force() {
            Some(held) => held.catalogue().revision() >= version.revision(),
            None => member.node().is_none(),
        };
        self.members.len() - self.members.iter().filter(holds).count()
    }

    /// Sum of the control traffic of all running members.
    pub fn control_stats(&self) -> ControlStats {
        let mut sum = ControlStats::default();
        for node in self.members.iter().filter_map(Member::node) {
            let stats = node.control_stats();
            sum.bytes_in += stats.bytes_in;
            sum.bytes_out += stats.bytes_out;
            sum.messages += stats.messages;
            sum.pulls += stats.pulls;
            sum.reads += stats.reads;
        }
        sum
    }

    /// Processor time of all nodes since the start.
    ///
    /// # Errors
    ///
    /// Fails where the operating system has no `/proc`.
    pub fn cpu_time(&self) -> miette::Result<Duration> {
        Ok(ThreadUsage::now()?.cpu_of(NODE_THREAD_NAME))
    }
}

fn start_members(
    handle: &Handle,
    common: &CommonSettings,
    instances: &mut [Instance],
) -> miette::Result<Vec<Member>> {
    let mut members = Vec::new();
    for instance in instances {
        let member = Member::start(handle, common, instance.clone())?;
        *instance = member.instance().clone();
        members.push(member);
    }
    Ok(members)
}

fn runtime(name: &str, threads: usize) -> miette::Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name(name)
        .enable_all()
        .build()
        .into_diagnostic()
}

fn target_settings() -> miette::Result<TargetSettings> {
    let connections = MAX_TARGET_CONNECTIONS.try_into().into_diagnostic()?;
    Ok(TargetSettings {
        connections,
        ..TargetSettings::default()
    })
}
