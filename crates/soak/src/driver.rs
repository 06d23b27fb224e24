//! Injects the faults of a schedule into the fleet.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use miette::IntoDiagnostic;
use sassafrasspool_bench::chaos::events::Stopped;
use sassafrasspool_bench::chaos::log::Log;
use sassafrasspool_bench::chaos::log::now_us;
use sassafrasspool_bench::load::DOMAINS;
use sassafrasspool_bench::load::LedgerRun;
use sassafrasspool_bench::load::Outage;
use sassafrasspool_bench::load::OutageKind;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::InstanceState;
use sassafrasspool_core::history::Event;
use tokio::task::JoinSet;
use tokio::time::Instant;

use self::hurts::Hurts;
use self::operators::Operators;
use self::switches::of_platform;
use crate::fleet::Fleet;
use crate::fleet::Member;
use crate::schedule::Fault;
use crate::schedule::PlatformFault;
use crate::schedule::Schedule;
use crate::schedule::Step;
use crate::verdict::Hurt;
use crate::verdict::PublishedCatalogue;
use crate::verdict::crashes;

mod hurts;
mod links;
mod nodes;
mod operators;
mod switches;
mod targets;

/// How long a target is unavailable after a request crashed it, in microseconds. Covers
/// its restart and its cold start.
const DOWN_US: u64 = 500_000;

/// Runs the steps of a schedule and records when each fault affected which instance.
#[derive(Debug)]
pub struct Driver {
    fleet: Arc<Fleet>,
    operators: Operators,
    log: Arc<Log>,
    stops: Mutex<Vec<Stopped>>,
    /// One lock per instance, held while a fault is applied to the process of its node.
    nodes: Vec<tokio::sync::Mutex<()>>,
    /// One lock per instance, held while a fault is applied to its target.
    targets: Vec<tokio::sync::Mutex<()>>,
    platform: tokio::sync::Mutex<()>,
    /// Locked while the begin or end of an impairment is logged, so that the log has them
    /// in their order.
    hurts: Mutex<Hurts>,
    /// When node processes were killed.
    kills: Mutex<Vec<Stopped>>,
    /// When nodes, their targets or the links between them were stalled, so that requests
    /// start later than they were handed over.
    stalled: Mutex<Vec<Hurt>>,
}

impl Driver {
    /// Creates a driver for a fleet whose first catalogue and instance list were published.
    ///
    /// # Errors
    ///
    /// Fails if the first catalogue or list can't be parsed.
    pub fn new(fleet: Arc<Fleet>, log: Arc<Log>) -> miette::Result<Driver> {
        let list = fleet.members.iter().map(|m| m.instance.clone()).collect();
        let count = fleet.members.len();
        let locks = || (0..count).map(|_| tokio::sync::Mutex::new(())).collect();
        for member in &fleet.members {
            let node = member.instance.id.clone();
            log.record(Event::NodeBack { node });
        }
        Ok(Driver {
            operators: Operators::new(list, &log)?,
            fleet,
            log,
            stops: Mutex::default(),
            nodes: locks(),
            targets: locks(),
            platform: tokio::sync::Mutex::new(()),
            hurts: Mutex::default(),
            kills: Mutex::default(),
            stalled: Mutex::default(),
        })
    }

    /// The planned stops of nodes so far.
    pub fn stops(&self) -> Vec<Stopped> {
        lock(&self.stops).clone()
    }

    /// The valid catalogues in the order of their publication.
    pub async fn catalogues(&self) -> Vec<PublishedCatalogue> {
        self.operators.catalogues().await
    }

    /// When node processes were killed.
    pub fn kills(&self) -> Vec<Stopped> {
        lock(&self.kills).clone()
    }

    /// When nodes, their targets or the links between them were stalled.
    pub fn stalled(&self) -> Vec<Hurt> {
        lock(&self.stalled).clone()
    }

    /// When faults kept nodes from receiving new versions.
    pub fn hurt(&self) -> Vec<Hurt> {
        lock(&self.hurts).all().to_vec()
    }

    /// Records the crashes that requests caused according to the ledgers of the targets.
    pub fn note_crashes(&self, runs: &[LedgerRun]) {
        for (at_us, run) in crashes(runs) {
            let target = self.id(run.instance);
            self.log.record_at(at_us, Event::Crashed { target });
            let kind = OutageKind::TargetCrashed;
            self.note_until(run.instance, kind, at_us, at_us + DOWN_US);
        }
    }

    /// Starts each step when it is due and waits until all faults have ended.
    ///
    /// # Errors
    ///
    /// Fails if a fault can't be applied, or a process can't be started again.
    pub async fn play(self: &Arc<Driver>, schedule: &Schedule) -> miette::Result<()> {
        let start = Instant::now();
        let mut under_way = JoinSet::new();
        for &step in &schedule.steps {
            tokio::time::sleep_until(start + step.at).await;
            let driver = Arc::clone(self);
            under_way.spawn(async move { driver.perform(step).await });
        }
        while let Some(done) = under_way.join_next().await {
            done.into_diagnostic()??;
        }
        Ok(())
    }

    /// Runs one step. Steps for the same process run one after another, so that the steps
    /// of a series don't overlap; a step may therefore start late.
    async fn perform(&self, step: Step) -> miette::Result<()> {
        match step.fault {
            Fault::Node(n, what) => {
                let _turn = self.nodes[n].lock().await;
                self.of_node(n, what, step.length).await
            }
            Fault::Herd => self.herd(step.length).await,
            Fault::Target(n, what) => {
                let _turn = self.targets[n].lock().await;
                self.of_target(n, what, step.length).await
            }
            Fault::Link(n, way, what) => {
                self.of_link(n, way, what, step.length).await;
                Ok(())
            }
            Fault::Platform(what) => {
                let _turn = self.platform.lock().await;
                self.of_platform(what, step.length).await
            }
            Fault::Evacuate(domain) => {
                let platform = &self.fleet.platform;
                let domain = DOMAINS[domain];
                self.operators
                    .evacuate(domain, true, platform, &self.log)
                    .await?;
                tokio::time::sleep(step.length).await;
                self.operators
                    .evacuate(domain, false, platform, &self.log)
                    .await
            }
            Fault::Publish(good) => {
                let platform = &self.fleet.platform;
                self.operators.publish(good, platform, &self.log).await
            }
        }
    }

    fn member(&self, n: usize) -> &Member {
        &self.fleet.members[n]
    }

    fn id(&self, n: usize) -> InstanceId {
        self.member(n).instance.id.clone()
    }

    async fn of_platform(&self, what: PlatformFault, length: Duration) -> miette::Result<()> {
        let platform = &self.fleet.platform;
        self.log.record(Event::SourceLost);
        if what == PlatformFault::Freeze {
            platform.freeze(true).into_diagnostic()?;
            tokio::time::sleep(length).await;
            platform.freeze(false).into_diagnostic()?;
        } else {
            platform.switch(&of_platform(what, length, true)).await?;
            tokio::time::sleep(length).await;
            platform.switch(&of_platform(what, length, false)).await?;
        }
        if what == PlatformFault::ListLag {
            // A list that was published at the end is still delayed by that time.
            tokio::time::sleep(length).await;
        }
        self.log.record(Event::SourceBack);
        Ok(())
    }

    /// Publishes the instance list with a new state of one instance, or without it.
    async fn list_as(&self, n: usize, state: Option<InstanceState>) -> miette::Result<()> {
        let platform = &self.fleet.platform;
        self.operators.list_as(n, state, platform, &self.log).await
    }

    /// Records that a fault begins to keep a node from receiving new versions.
    fn lose(&self, n: usize) {
        let mut hurts = lock(&self.hurts);
        if hurts.begin(n) {
            self.log.record(Event::NodeLost { node: self.id(n) });
        }
    }

    /// Records that such a fault ended.
    fn regain(&self, n: usize) {
        let mut hurts = lock(&self.hurts);
        if hurts.end(n) {
            self.log.record(Event::NodeBack { node: self.id(n) });
        }
    }

    /// Records that a node, its target or the link between them was stalled until now.
    fn note_stall(&self, n: usize, from_us: u64) {
        lock(&self.stalled).push(Hurt {
            instance: n,
            from_us,
            to_us: now_us(),
        });
    }

    /// Records an outage of an instance that lasted until now.
    fn note(&self, n: usize, kind: OutageKind, from_us: u64) {
        self.note_until(n, kind, from_us, now_us());
    }

    /// Records an outage of an instance. A fault of the callers' link doesn't affect callers
    /// that connect to the node directly.
    fn note_until(&self, n: usize, kind: OutageKind, from_us: u64, to_us: u64) {
        let member = self.member(n);
        let by_link = (kind == OutageKind::CallersCut).then_some(member.entry);
        let both = [member.ingress, member.entry];
        for entry in both
            .into_iter()
            .filter(|it| by_link.is_none_or(|only| only == *it))
        {
            self.log.add(Outage {
                instance: n,
                entry,
                kind,
                from_us,
                to_us,
            });
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
