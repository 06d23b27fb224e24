//! The fleet of one case with the history of its faults.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use miette::IntoDiagnostic;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::Stream;
use sassafrasspool_core::Version;
use sassafrasspool_core::history::Event;
use sassafrasspool_core::history::History;
use sassafrasspool_standin::platform::PlatformStats;

use super::timing::Timing;
use crate::control_fleet::ControlFleet;
use crate::control_fleet::FleetOptions;
use crate::control_fleet::Member;
use crate::control_fleet::Observation;
use crate::control_fleet::Publisher;
use crate::control_fleet::Watcher;

/// Timeout for the start of the fleet.
const START_TIMEOUT: Duration = Duration::from_secs(60);

/// Limit of the wait for a version, so that a run ends. It is above the bound
/// of the checker, so that a version that comes too late is found as a
/// violation.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(25);

/// Number of seeds in the settings of a restarted node.
const SEEDS_PER_RESTART: usize = 3;

/// A running fleet that records the faults injected into it.
#[derive(Debug)]
pub(super) struct CaseFleet {
    pub(super) rng: SmallRng,
    fleet: ControlFleet,
    publisher: Publisher,
    watcher: Watcher,
    history: History,
    timing: Timing,
    /// Number of active faults by node that make it stopped or unreachable.
    lost_counts: Vec<u32>,
    source_lost_count: u32,
    partition: Option<Partition>,
}

/// A partition between the nodes of one side and all others.
#[derive(Debug, Clone)]
struct Partition {
    side: HashSet<usize>,
    from_platform: bool,
}

/// Records of a finished case.
#[derive(Debug)]
pub(super) struct CaseRecords {
    pub(super) history: History,
    pub(super) timing: Timing,
    pub(super) observations: Vec<Observation>,
    pub(super) stats: PlatformStats,
}

impl CaseFleet {
    /// Starts a fleet and waits until the first version is in force.
    pub(super) fn start(opts: &FleetOptions, seed_salt: u64) -> miette::Result<CaseFleet> {
        let (fleet, publisher) = ControlFleet::start(opts)?;
        let first = publisher.expected_facts()?;
        let watcher = Watcher::start(fleet.members().clone(), true);
        let mut case_fleet = CaseFleet {
            rng: SmallRng::seed_from_u64(opts.shape.seed ^ (seed_salt << 32)),
            lost_counts: vec![0; fleet.members().len()],
            fleet,
            publisher,
            watcher,
            history: History::new(),
            timing: Timing::default(),
            source_lost_count: 0,
            partition: None,
        };
        case_fleet.record_published(Stream::Instances, first.instances);
        case_fleet.record_published(Stream::Catalogue, first.catalogue);
        case_fleet.record_reference()?;
        case_fleet
            .fleet
            .wait_until_in_force(first.catalogue, START_TIMEOUT)?;
        for i in 0..case_fleet.lost_counts.len() {
            let node = case_fleet.node_id(i);
            case_fleet.record(Event::NodeBack { node });
        }
        case_fleet.fleet.platform().reset_stats();
        Ok(case_fleet)
    }

    /// Number of nodes.
    pub(super) fn len(&self) -> usize {
        self.lost_counts.len()
    }

    /// The nodes of a failure domain; domains are numbered from 0.
    pub(super) fn nodes_of_domain(&self, number: usize) -> Vec<usize> {
        let members = self.fleet.members();
        let mut names: Vec<_> = members.iter().map(|m| &m.instance().domain).collect();
        names.sort();
        names.dedup();
        let name = names[number % names.len()];
        let is_in_domain = |i: &usize| members[*i].instance().domain == *name;
        (0..members.len()).filter(is_in_domain).collect()
    }

    /// Publishes a valid change of the catalogue.
    pub(super) fn publish_change(&mut self) -> miette::Result<Version> {
        let at = self.watcher.now();
        let version = self.publisher.publish_change(self.fleet.platform())?;
        let stream = Stream::Catalogue;
        self.history
            .record(at, Event::PublishedGood { stream, version });
        self.timing.record_publication(at, version.revision());
        self.record_reference_at(at)?;
        Ok(version)
    }

    /// Publishes a version from which no snapshot can be built.
    pub(super) fn publish_bad(&mut self) -> miette::Result<()> {
        let at = self.watcher.now();
        let version = self.publisher.publish_bad(self.fleet.platform())?;
        let stream = Stream::Catalogue;
        self.history
            .record(at, Event::PublishedBad { stream, version });
        Ok(())
    }

    /// Waits until the newest valid version is in force on all running nodes, or
    /// until [`IN_FORCE_TIMEOUT`].
    pub(super) fn wait_until_in_force(&self) {
        if let Some(newest) = self.publisher.catalogue_version() {
            // The checker reports a version that comes too late.
            let _ = self.fleet.wait_until_in_force(newest, IN_FORCE_TIMEOUT);
        }
    }

    /// Sleeps for `ms` milliseconds.
    pub(super) fn sleep_ms(&self, ms: u64) {
        thread::sleep(Duration::from_millis(ms));
    }

    /// Crashes nodes at once.
    pub(super) fn crash(&mut self, nodes: &[usize]) -> miette::Result<()> {
        for &i in nodes {
            self.record_node_lost(i);
        }
        let members = Arc::clone(self.fleet.members());
        for &i in nodes {
            members[i].begin_crash();
        }
        for &i in nodes {
            members[i].crash(self.fleet.handle())?;
        }
        Ok(())
    }

    /// Restarts crashed nodes.
    pub(super) fn restart(&mut self, nodes: &[usize]) -> miette::Result<()> {
        let members = Arc::clone(self.fleet.members());
        for &i in nodes {
            let seeds = self.seeds(i);
            self.timing.record_restart(self.watcher.now(), i);
            self.record_node_back(i);
            members[i].restart(self.fleet.handle(), &seeds)?;
            self.apply_partition(i);
        }
        Ok(())
    }

    /// Pauses the control sides of nodes.
    pub(super) fn pause(&mut self, nodes: &[usize]) {
        for &i in nodes {
            self.record_node_lost(i);
            if let Some(node) = self.member(i).node() {
                node.fault_injector().set_paused(true);
            }
        }
    }

    /// Resumes paused control sides.
    pub(super) fn resume(&mut self, nodes: &[usize]) {
        for &i in nodes {
            self.record_node_back(i);
            if let Some(node) = self.member(i).node() {
                node.fault_injector().set_paused(false);
            }
        }
    }

    /// Partitions some nodes from the others. If they are also partitioned from
    /// the platform, they can't get new versions; else each side has its own
    /// readers.
    pub(super) fn partition(&mut self, side: &[usize], from_platform: bool) {
        self.partition = Some(Partition {
            side: side.iter().copied().collect(),
            from_platform,
        });
        for i in 0..self.len() {
            if from_platform && side.contains(&i) {
                self.record_node_lost(i);
            }
            self.apply_partition(i);
        }
    }

    /// Ends the partition.
    pub(super) fn end_partition(&mut self) {
        let Some(partition) = self.partition.take() else {
            return;
        };
        for i in 0..self.len() {
            if partition.from_platform && partition.side.contains(&i) {
                self.record_node_back(i);
            }
            self.apply_partition(i);
        }
    }

    /// Begins an outage of the source.
    pub(super) fn begin_outage(&mut self) {
        self.record_source_lost();
        self.fleet.platform().set_outage(true);
    }

    /// Ends the outage.
    pub(super) fn end_outage(&mut self) {
        self.record_source_back();
        self.fleet.platform().set_outage(false);
    }

    /// Makes the source serve an old version.
    pub(super) fn begin_stale(&mut self, at: Version) -> miette::Result<()> {
        self.record_source_lost();
        let platform = self.fleet.platform();
        platform
            .set_stale_revision(Stream::Catalogue, at.revision())
            .into_diagnostic()
    }

    /// Makes the source serve the newest version again.
    pub(super) fn end_stale(&mut self) {
        self.record_source_back();
        self.fleet.platform().set_stale(false);
    }

    /// Draws `count` nodes at random.
    pub(super) fn draw_nodes(&mut self, count: usize) -> Vec<usize> {
        let all: Vec<usize> = (0..self.len()).collect();
        all.sample(&mut self.rng, count).copied().collect()
    }

    /// The nodes that currently read the platform.
    pub(super) fn readers(&self) -> Vec<usize> {
        let reads = |i: &usize| {
            let Some(node) = self.member(*i).node() else {
                return false;
            };
            let status = self.fleet.handle().block_on(node.spread_status());
            status.is_ok_and(|status| status.reading)
        };
        (0..self.len()).filter(reads).collect()
    }

    /// Ends the case and returns its records.
    pub(super) fn finish(mut self) -> CaseRecords {
        let observations = self.watcher.take_observations();
        for observation in &observations {
            if let Some(held) = &observation.facts {
                let node = self.node_id(observation.member);
                let held = Arc::clone(held);
                self.history
                    .record(observation.at, Event::InForce { node, held });
            }
        }
        // The checker takes the time of the last event as the end of the run.
        self.record(Event::SourceBack);
        CaseRecords {
            stats: self.fleet.platform().stats(),
            history: self.history,
            timing: self.timing,
            observations,
        }
    }

    fn member(&self, i: usize) -> &Member {
        &self.fleet.members()[i]
    }

    fn node_id(&self, i: usize) -> InstanceId {
        self.member(i).instance().id.clone()
    }

    fn record(&mut self, event: Event) {
        self.history.record(self.watcher.now(), event);
    }

    fn record_published(&mut self, stream: Stream, version: Version) {
        let at = sassafrasspool_core::Tick::ZERO;
        self.history
            .record(at, Event::PublishedGood { stream, version });
    }

    fn record_reference(&mut self) -> miette::Result<()> {
        self.record_reference_at(sassafrasspool_core::Tick::ZERO)
    }

    /// Records the expected snapshot of the newest versions as that of a
    /// reference node, before any node can have it. The checker reports other
    /// content of the same versions as applied in part.
    fn record_reference_at(&mut self, at: sassafrasspool_core::Tick) -> miette::Result<()> {
        let node = InstanceId::new("reference").into_diagnostic()?;
        let held = Arc::new(self.publisher.expected_facts()?);
        self.history.record(at, Event::InForce { node, held });
        Ok(())
    }

    fn record_node_lost(&mut self, i: usize) {
        self.lost_counts[i] += 1;
        if self.lost_counts[i] == 1 {
            let node = self.node_id(i);
            self.record(Event::NodeLost { node });
        }
    }

    /// Records that a node is about to come back. This has to precede the
    /// return, because the node's effects may be observed at once.
    fn record_node_back(&mut self, i: usize) {
        self.lost_counts[i] = self.lost_counts[i].saturating_sub(1);
        if self.lost_counts[i] == 0 {
            let node = self.node_id(i);
            self.record(Event::NodeBack { node });
            self.timing.record_node_back(self.watcher.now(), i);
        }
    }

    fn record_source_lost(&mut self) {
        self.source_lost_count += 1;
        if self.source_lost_count == 1 {
            self.record(Event::SourceLost);
        }
    }

    fn record_source_back(&mut self) {
        self.source_lost_count = self.source_lost_count.saturating_sub(1);
        if self.source_lost_count == 0 {
            self.record(Event::SourceBack);
            self.timing.record_source_back(self.watcher.now());
        }
    }

    fn seeds(&mut self, i: usize) -> Vec<SocketAddr> {
        let others = self.draw_nodes(SEEDS_PER_RESTART + 1);
        let others = others
            .into_iter()
            .filter(|other| *other != i)
            .take(SEEDS_PER_RESTART);
        others
            .map(|other| self.member(other).instance().control)
            .collect()
    }

    fn apply_partition(&self, i: usize) {
        let Some(node) = self.member(i).node() else {
            return;
        };
        let Some(partition) = &self.partition else {
            node.fault_injector().partition_from(HashSet::new());
            node.fault_injector().set_platform_cut(false);
            return;
        };
        let inside = partition.side.contains(&i);
        let others = (0..self.len()).filter(|other| partition.side.contains(other) != inside);
        let others = others.map(|other| self.member(other).instance().control);
        node.fault_injector().partition_from(others.collect());
        node.fault_injector()
            .set_platform_cut(inside && partition.from_platform);
    }
}
