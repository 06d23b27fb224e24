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
use crate::control_fleet::Publisher;
use crate::control_fleet::Seen;
use crate::control_fleet::Watcher;

/// Timeout for the start of the fleet.
const START_BOUND: Duration = Duration::from_secs(60);

/// Limit of the wait for a version, so that a run ends. It is above the bound
/// of the checker, so that a version that comes too late is found as a
/// violation.
const HEAL_BOUND: Duration = Duration::from_secs(25);

/// Number of seeds in the settings of a restarted node.
const SEEDS: usize = 3;

/// A running fleet that records the faults injected into it.
#[derive(Debug)]
pub(super) struct Stage {
    pub(super) rng: SmallRng,
    fleet: ControlFleet,
    publisher: Publisher,
    watcher: Watcher,
    history: History,
    timing: Timing,
    /// Number of active faults by node that make it stopped or unreachable.
    lost: Vec<u32>,
    source_lost: u32,
    parted: Option<Parted>,
}

/// A partition between the nodes of one side and all others.
#[derive(Debug, Clone)]
struct Parted {
    side: HashSet<usize>,
    from_platform: bool,
}

/// Records of a finished case.
#[derive(Debug)]
pub(super) struct Finished {
    pub(super) history: History,
    pub(super) timing: Timing,
    pub(super) seen: Vec<Seen>,
    pub(super) stats: PlatformStats,
}

impl Stage {
    /// Starts a fleet and waits until the first version is in force.
    pub(super) fn start(opts: &FleetOptions, salt: u64) -> miette::Result<Stage> {
        let (fleet, publisher) = ControlFleet::start(opts)?;
        let first = publisher.expected()?;
        let watcher = Watcher::start(fleet.members().clone(), true);
        let mut stage = Stage {
            rng: SmallRng::seed_from_u64(opts.shape.seed ^ (salt << 32)),
            lost: vec![0; fleet.members().len()],
            fleet,
            publisher,
            watcher,
            history: History::new(),
            timing: Timing::default(),
            source_lost: 0,
            parted: None,
        };
        stage.published(Stream::Instances, first.instances);
        stage.published(Stream::Catalogue, first.catalogue);
        stage.record_reference()?;
        stage.fleet.until_in_force(first.catalogue, START_BOUND)?;
        for i in 0..stage.lost.len() {
            let node = stage.id(i);
            stage.record(Event::NodeBack { node });
        }
        stage.fleet.platform().reset_stats();
        Ok(stage)
    }

    /// Number of nodes.
    pub(super) fn len(&self) -> usize {
        self.lost.len()
    }

    /// The nodes of a failure domain; domains are numbered from 0.
    pub(super) fn domain(&self, number: usize) -> Vec<usize> {
        let members = self.fleet.members();
        let mut names: Vec<_> = members.iter().map(|m| &m.instance().domain).collect();
        names.sort();
        names.dedup();
        let name = names[number % names.len()];
        let of = |i: &usize| members[*i].instance().domain == *name;
        (0..members.len()).filter(of).collect()
    }

    /// Publishes a valid change of the catalogue.
    pub(super) fn change(&mut self) -> miette::Result<Version> {
        let at = self.watcher.now();
        let version = self.publisher.change(self.fleet.platform())?;
        let stream = Stream::Catalogue;
        self.history
            .record(at, Event::PublishedGood { stream, version });
        self.timing.published(at, version.revision());
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
    /// until [`HEAL_BOUND`].
    pub(super) fn settle(&self) {
        if let Some(newest) = self.publisher.catalogue() {
            // The checker reports a version that comes too late.
            let _ = self.fleet.until_in_force(newest, HEAL_BOUND);
        }
    }

    /// Sleeps for `ms` milliseconds.
    pub(super) fn wait(&self, ms: u64) {
        thread::sleep(Duration::from_millis(ms));
    }

    /// Crashes nodes at once.
    pub(super) fn crash(&mut self, nodes: &[usize]) -> miette::Result<()> {
        for &i in nodes {
            self.lose(i);
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
            self.timing.restarted(self.watcher.now(), i);
            self.find(i);
            members[i].restart(self.fleet.handle(), &seeds)?;
            self.apply_partition(i);
        }
        Ok(())
    }

    /// Pauses the control sides of nodes.
    pub(super) fn pause(&mut self, nodes: &[usize]) {
        for &i in nodes {
            self.lose(i);
            if let Some(node) = self.member(i).node() {
                node.gate().pause(true);
            }
        }
    }

    /// Resumes paused control sides.
    pub(super) fn resume(&mut self, nodes: &[usize]) {
        for &i in nodes {
            self.find(i);
            if let Some(node) = self.member(i).node() {
                node.gate().pause(false);
            }
        }
    }

    /// Partitions some nodes from the others. If they are also partitioned from
    /// the platform, they can't get new versions; else each side has its own
    /// readers.
    pub(super) fn part(&mut self, side: &[usize], from_platform: bool) {
        self.parted = Some(Parted {
            side: side.iter().copied().collect(),
            from_platform,
        });
        for i in 0..self.len() {
            if from_platform && side.contains(&i) {
                self.lose(i);
            }
            self.apply_partition(i);
        }
    }

    /// Ends the partition.
    pub(super) fn heal(&mut self) {
        let Some(parted) = self.parted.take() else {
            return;
        };
        for i in 0..self.len() {
            if parted.from_platform && parted.side.contains(&i) {
                self.find(i);
            }
            self.apply_partition(i);
        }
    }

    /// Begins an outage of the source.
    pub(super) fn begin_outage(&mut self) {
        self.lose_source();
        self.fleet.platform().set_outage(true);
    }

    /// Ends the outage.
    pub(super) fn end_outage(&mut self) {
        self.find_source();
        self.fleet.platform().set_outage(false);
    }

    /// Makes the source serve an old version.
    pub(super) fn begin_stale(&mut self, at: Version) -> miette::Result<()> {
        self.lose_source();
        let platform = self.fleet.platform();
        platform
            .set_stale_at(Stream::Catalogue, at.revision())
            .into_diagnostic()
    }

    /// Makes the source serve the newest version again.
    pub(super) fn end_stale(&mut self) {
        self.find_source();
        self.fleet.platform().set_stale(false);
    }

    /// Draws `count` nodes at random.
    pub(super) fn some(&mut self, count: usize) -> Vec<usize> {
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
    pub(super) fn finish(mut self) -> Finished {
        let seen = self.watcher.take();
        for seen in &seen {
            if let Some(held) = &seen.held {
                let node = self.id(seen.member);
                let held = Arc::clone(held);
                self.history.record(seen.at, Event::InForce { node, held });
            }
        }
        // The checker takes the time of the last event as the end of the run.
        self.record(Event::SourceBack);
        Finished {
            stats: self.fleet.platform().stats(),
            history: self.history,
            timing: self.timing,
            seen,
        }
    }

    fn member(&self, i: usize) -> &Member {
        &self.fleet.members()[i]
    }

    fn id(&self, i: usize) -> InstanceId {
        self.member(i).instance().id.clone()
    }

    fn record(&mut self, event: Event) {
        self.history.record(self.watcher.now(), event);
    }

    fn published(&mut self, stream: Stream, version: Version) {
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
        let held = Arc::new(self.publisher.expected()?);
        self.history.record(at, Event::InForce { node, held });
        Ok(())
    }

    fn lose(&mut self, i: usize) {
        self.lost[i] += 1;
        if self.lost[i] == 1 {
            let node = self.id(i);
            self.record(Event::NodeLost { node });
        }
    }

    /// Records that a node is about to come back. This has to precede the
    /// return, because the node's effects may be observed at once.
    fn find(&mut self, i: usize) {
        self.lost[i] = self.lost[i].saturating_sub(1);
        if self.lost[i] == 0 {
            let node = self.id(i);
            self.record(Event::NodeBack { node });
            self.timing.found(self.watcher.now(), i);
        }
    }

    fn lose_source(&mut self) {
        self.source_lost += 1;
        if self.source_lost == 1 {
            self.record(Event::SourceLost);
        }
    }

    fn find_source(&mut self) {
        self.source_lost = self.source_lost.saturating_sub(1);
        if self.source_lost == 0 {
            self.record(Event::SourceBack);
            self.timing.source_found(self.watcher.now());
        }
    }

    fn seeds(&mut self, i: usize) -> Vec<SocketAddr> {
        let others = self.some(SEEDS + 1);
        let others = others.into_iter().filter(|other| *other != i).take(SEEDS);
        others
            .map(|other| self.member(other).instance().control)
            .collect()
    }

    fn apply_partition(&self, i: usize) {
        let Some(node) = self.member(i).node() else {
            return;
        };
        let Some(parted) = &self.parted else {
            node.gate().part(HashSet::new());
            node.gate().cut_platform(false);
            return;
        };
        let inside = parted.side.contains(&i);
        let others = (0..self.len()).filter(|other| parted.side.contains(other) != inside);
        let others = others.map(|other| self.member(other).instance().control);
        node.gate().part(others.collect());
        node.gate().cut_platform(inside && parted.from_platform);
    }
}
