//! Injects the faults of a schedule into the fleet.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use miette::IntoDiagnostic;
use sassafrasspool_bench::chaos::events::NodeStop;
use sassafrasspool_bench::chaos::log::Log;
use sassafrasspool_bench::chaos::log::unix_now_us;
use sassafrasspool_bench::load::DOMAINS;
use sassafrasspool_bench::load::LedgerRun;
use sassafrasspool_bench::load::Outage;
use sassafrasspool_bench::load::OutageKind;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::InstanceState;
use sassafrasspool_core::history::Event;
use tokio::task::JoinSet;
use tokio::time::Instant;

use self::impairments::Impairments;
use self::operators::Operators;
use self::switches::platform_switches;
use crate::fleet::Fleet;
use crate::fleet::Member;
use crate::schedule::Fault;
use crate::schedule::PlatformFault;
use crate::schedule::Schedule;
use crate::schedule::Step;
use crate::schedule::TargetFault;
use crate::verdict::FaultSpan;
use crate::verdict::Impairment;
use crate::verdict::PublishedCatalogue;
use crate::verdict::StatedSpan;
use crate::verdict::crashed_runs;

mod impairments;
mod links;
mod nodes;
mod operators;
mod switches;
mod targets;

/// How long a target is unavailable after a request crashed it, in microseconds. Covers
/// its restart and its cold start.
const CRASH_DOWNTIME_US: u64 = 500_000;

/// How long after its return from a copy the platform gets what it lacks.
const REPEAT_DELAY: Duration = Duration::from_millis(700);

/// Runs the steps of a schedule and records when each fault affected which instance.
#[derive(Debug)]
pub struct Driver {
    fleet: Arc<Fleet>,
    operators: Operators,
    log: Arc<Log>,
    stops: Mutex<Vec<NodeStop>>,
    /// One lock per instance, held while a fault is applied to the process of its node.
    node_locks: Vec<tokio::sync::Mutex<()>>,
    /// One lock per instance, held while a fault is applied to its target.
    target_locks: Vec<tokio::sync::Mutex<()>>,
    platform_lock: tokio::sync::Mutex<()>,
    /// Locked while the start or end of an impairment is logged, so that the log has these
    /// events in their order.
    impairments: Mutex<Impairments>,
    /// When node processes were killed.
    kills: Mutex<Vec<NodeStop>>,
    /// When nodes, their targets or the links between them were stalled, so that requests
    /// start later than they were handed over.
    stalls: Mutex<Vec<Impairment>>,
    /// When targets stated something about themselves.
    stated: Mutex<Vec<StatedSpan>>,
    /// When faults were injected and requests crashed targets.
    faults: Mutex<Vec<FaultSpan>>,
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
            node_locks: locks(),
            target_locks: locks(),
            platform_lock: tokio::sync::Mutex::new(()),
            impairments: Mutex::default(),
            kills: Mutex::default(),
            stalls: Mutex::default(),
            stated: Mutex::default(),
            faults: Mutex::default(),
        })
    }

    /// The planned stops of nodes so far.
    pub fn stops(&self) -> Vec<NodeStop> {
        lock(&self.stops).clone()
    }

    /// The valid catalogues in the order of their publication.
    pub async fn catalogues(&self) -> Vec<PublishedCatalogue> {
        self.operators.catalogues().await
    }

    /// When node processes were killed.
    pub fn kills(&self) -> Vec<NodeStop> {
        lock(&self.kills).clone()
    }

    /// When nodes, their targets or the links between them were stalled.
    pub fn stalls(&self) -> Vec<Impairment> {
        lock(&self.stalls).clone()
    }

    /// When targets stated something about themselves.
    pub fn stated(&self) -> Vec<StatedSpan> {
        lock(&self.stated).clone()
    }

    /// When faults were injected and requests crashed targets.
    pub fn faults(&self) -> Vec<FaultSpan> {
        lock(&self.faults).clone()
    }

    /// When faults kept nodes from receiving new versions.
    pub fn impairments(&self) -> Vec<Impairment> {
        lock(&self.impairments).all().to_vec()
    }

    /// Records the crashes that requests caused according to the ledgers of the targets.
    pub fn record_crashes(&self, runs: &[LedgerRun]) {
        for (at_us, run) in crashed_runs(runs) {
            let target = self.id(run.instance);
            self.log.record_at(at_us, Event::Crashed { target });
            let kind = OutageKind::TargetCrashed;
            let to_us = at_us + CRASH_DOWNTIME_US;
            self.record_outage_until(run.instance, kind, at_us, to_us);
            self.record_fault(
                Fault::Target(run.instance, TargetFault::Crash),
                at_us,
                to_us,
            );
        }
    }

    /// Starts each step when it is due and waits until all faults have ended.
    ///
    /// # Errors
    ///
    /// Fails if a fault can't be applied, or a process can't be started again.
    pub async fn run_schedule(self: &Arc<Driver>, schedule: &Schedule) -> miette::Result<()> {
        let start = Instant::now();
        let mut running = JoinSet::new();
        for &step in &schedule.steps {
            tokio::time::sleep_until(start + step.at).await;
            let driver = Arc::clone(self);
            running.spawn(async move {
                let from_us = unix_now_us();
                let done = driver.run_step(step).await;
                driver.record_fault(step.fault, from_us, unix_now_us());
                done
            });
        }
        while let Some(done) = running.join_next().await {
            done.into_diagnostic()??;
        }
        Ok(())
    }

    /// Runs one step. Steps for the same process run one after another, so that the steps
    /// of a series don't overlap; a step may therefore start late.
    async fn run_step(&self, step: Step) -> miette::Result<()> {
        match step.fault {
            Fault::Node(n, fault) => {
                let _guard = self.node_locks[n].lock().await;
                self.apply_node_fault(n, fault, step.length).await
            }
            Fault::Herd => self.kill_every_second_node(step.length).await,
            Fault::Target(n, fault) => {
                let _guard = self.target_locks[n].lock().await;
                self.apply_target_fault(n, fault, step.length).await
            }
            Fault::Link(n, role, fault) => {
                self.apply_link_fault(n, role, fault, step.length).await;
                Ok(())
            }
            Fault::Platform(fault) => {
                let _guard = self.platform_lock.lock().await;
                self.apply_platform_fault(fault, step.length).await
            }
            Fault::Evacuate(domain) => {
                let platform = &self.fleet.platform;
                let domain = DOMAINS[domain];
                self.operators
                    .change_evacuation(domain, true, platform, &self.log)
                    .await?;
                tokio::time::sleep(step.length).await;
                self.operators
                    .change_evacuation(domain, false, platform, &self.log)
                    .await
            }
            Fault::State(n, statement) => {
                let _guard = self.target_locks[n].lock().await;
                self.apply_statement(n, statement, step.length).await
            }
            Fault::Publish(valid) => {
                let platform = &self.fleet.platform;
                self.operators.publish(valid, platform, &self.log).await
            }
        }
    }

    fn member(&self, n: usize) -> &Member {
        &self.fleet.members[n]
    }

    fn id(&self, n: usize) -> InstanceId {
        self.member(n).instance.id.clone()
    }

    async fn apply_platform_fault(
        &self,
        fault: PlatformFault,
        length: Duration,
    ) -> miette::Result<()> {
        let platform = &self.fleet.platform;
        self.log.record(Event::SourceLost);
        if fault == PlatformFault::Freeze {
            platform.set_frozen(true).into_diagnostic()?;
            tokio::time::sleep(length).await;
            platform.set_frozen(false).into_diagnostic()?;
        } else {
            platform
                .set_switches(&platform_switches(fault, length, true))
                .await?;
            tokio::time::sleep(length).await;
            if fault == PlatformFault::Restore {
                self.operators.restore(platform, &self.log).await?;
            }
            platform
                .set_switches(&platform_switches(fault, length, false))
                .await?;
        }
        if fault == PlatformFault::Restore {
            tokio::time::sleep(REPEAT_DELAY).await;
            self.operators.repeat_lost(platform, &self.log).await?;
        }
        if fault == PlatformFault::ListLag {
            // A list that was published at the end is still delayed by that time.
            tokio::time::sleep(length).await;
        }
        self.log.record(Event::SourceBack);
        Ok(())
    }

    /// Publishes the instance list with a new state of one instance, or without it.
    async fn publish_state(&self, n: usize, state: Option<InstanceState>) -> miette::Result<()> {
        let platform = &self.fleet.platform;
        self.operators
            .publish_state(n, state, platform, &self.log)
            .await
    }

    /// Records that a fault begins to keep a node from receiving new versions.
    fn begin_impairment(&self, n: usize) {
        let mut impairments = lock(&self.impairments);
        if impairments.begin(n) {
            self.log.record(Event::NodeLost { node: self.id(n) });
        }
    }

    /// Records that such a fault ended.
    fn end_impairment(&self, n: usize) {
        let mut impairments = lock(&self.impairments);
        if impairments.end(n) {
            self.log.record(Event::NodeBack { node: self.id(n) });
        }
    }

    /// Records that a node, its target or the link between them was stalled until now.
    fn record_stall(&self, n: usize, from_us: u64) {
        lock(&self.stalls).push(Impairment {
            instance: n,
            from_us,
            to_us: unix_now_us(),
        });
    }

    fn record_fault(&self, fault: Fault, from_us: u64, to_us: u64) {
        lock(&self.faults).push(FaultSpan {
            fault,
            from_us,
            to_us,
        });
    }

    /// Records an outage of an instance that lasted until now.
    fn record_outage(&self, n: usize, kind: OutageKind, from_us: u64) {
        self.record_outage_until(n, kind, from_us, unix_now_us());
    }

    /// Records an outage of an instance. A fault of the callers' link doesn't affect callers
    /// that connect to the node directly.
    fn record_outage_until(&self, n: usize, kind: OutageKind, from_us: u64, to_us: u64) {
        let member = self.member(n);
        let affected = (kind == OutageKind::CallerConnectionsCut).then_some(member.linked_ingress);
        let entries = [member.ingress, member.linked_ingress];
        for entry in entries
            .into_iter()
            .filter(|it| affected.is_none_or(|affected| affected == *it))
        {
            self.log.add_outage(Outage {
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
