//! Injection of the scripted faults into the fleet.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use miette::IntoDiagnostic;
use sassafrasspool_core::InstanceState;
use sassafrasspool_core::Revision;
use sassafrasspool_core::Stream;
use sassafrasspool_core::history::Event;
use sassafrasspool_standin::target::HealthReport;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::events::NodeStop;
use super::fault::Fault;
use super::fault::is_in_herd;
use super::log::Log;
use super::log::unix_now_us;
use super::operators::Operators;
use super::script::Script;
use crate::load::Fleet;
use crate::load::Member;
use crate::load::Outage;
use crate::load::OutageKind;

/// During a fault of late answers, one answer of this many is late.
const LATE_ANSWER_EVERY: u64 = 3;

/// Injects faults into a fleet.
#[derive(Debug)]
pub(super) struct Driver {
    pub(super) fleet: Arc<Fleet>,
    pub(super) operators: Operators,
    pub(super) log: Arc<Log>,
    /// Whether the fleet has nodes. Without nodes, faults of nodes are injected
    /// into the targets.
    pub(super) with_nodes: bool,
    pub(super) stops: Mutex<Vec<NodeStop>>,
    /// By instance: locked while a fault of the instance lasts.
    pub(super) fault_locks: Vec<tokio::sync::Mutex<()>>,
}

impl Driver {
    /// Injects every fault when it is due and waits until all faults are over.
    ///
    /// # Errors
    ///
    /// Fails if a fault can't be injected or a process can't be restarted.
    pub(super) async fn run_script(self: &Arc<Driver>, script: &Script) -> miette::Result<()> {
        let start = Instant::now();
        let mut injections = JoinSet::new();
        for step in &script.steps {
            tokio::time::sleep_until(start + step.at).await;
            let driver = Arc::clone(self);
            let fault = step.fault;
            injections.spawn(async move { driver.inject_if_idle(fault).await });
        }
        while let Some(done) = injections.join_next().await {
            done.into_diagnostic()??;
        }
        Ok(())
    }

    /// Injects a fault, unless an earlier one of the same instance still lasts.
    /// A drain takes as long as the requests in flight, so that the script can't
    /// plan its end.
    async fn inject_if_idle(&self, fault: Fault) -> miette::Result<()> {
        let Some(instance) = fault.instance() else {
            return self.inject(fault).await;
        };
        match self.fault_locks[instance].try_lock() {
            Ok(_guard) => self.inject(fault).await,
            Err(_) => Ok(()),
        }
    }

    async fn inject(&self, fault: Fault) -> miette::Result<()> {
        match fault {
            Fault::Stop { instance, down } => self.stop(instance, down).await,
            Fault::Kill { instance, down } => self.kill(instance, down).await,
            Fault::KillHerd { down } => self.kill_many(down).await,
            Fault::Pause { instance, length } => self.pause(instance, length).await,
            Fault::CrashTarget { instance, down } => self.crash_target(instance, down).await,
            Fault::Crash { instance, down } => {
                let target = self.crash_target(instance, down);
                let (node, target) = tokio::join!(self.kill(instance, down), target);
                node.and(target)
            }
            Fault::Isolate { instance, length } => {
                self.isolate(instance, length).await;
                Ok(())
            }
            Fault::PublishGood => self.operators.publish_good(&self.fleet.platform, &self.log),
            Fault::PublishBad => self.operators.publish_bad(&self.fleet.platform, &self.log),
            fault if fault.is_platform_fault() => self.inject_platform_fault(fault).await,
            fault => {
                self.inject_target_fault(fault).await;
                Ok(())
            }
        }
    }

    fn member(&self, instance: usize) -> &Member {
        &self.fleet.members[instance]
    }

    async fn stop(&self, instance: usize, down: Duration) -> miette::Result<()> {
        let member = self.member(instance);
        let target = member.instance.id.clone();
        let platform = &self.fleet.platform;
        self.log.record(Event::DrainBegan {
            target: target.clone(),
        });
        self.operators
            .publish_state(instance, InstanceState::Leaving, platform, &self.log)?;
        if !self.with_nodes {
            member.target.set_drain(true).await;
            member.target.crash().await;
        }
        let status = member.stop_node().await.into_diagnostic()?;
        let cut = u64::from(status.is_some_and(|status| !status.success()));
        let stopped = NodeStop {
            instance,
            at_us: unix_now_us(),
        };
        self.stops
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(stopped);
        self.log.record(Event::DrainEnded { target, cut });
        self.record_node_lost(instance);
        tokio::time::sleep(down).await;
        if !self.with_nodes {
            member.target.set_drain(false).await;
            member.target.restart().await.into_diagnostic()?;
        }
        self.start(instance).await?;
        self.operators
            .publish_state(instance, InstanceState::Live, platform, &self.log)
    }

    async fn kill(&self, instance: usize, down: Duration) -> miette::Result<()> {
        let from_us = unix_now_us();
        if !self.with_nodes {
            return self.crash_target(instance, down).await;
        }
        self.record_node_lost(instance);
        self.member(instance).kill_node().await.into_diagnostic()?;
        tokio::time::sleep(down).await;
        self.start(instance).await?;
        self.record_outage(instance, OutageKind::NodeKilled, from_us);
        Ok(())
    }

    async fn kill_many(&self, down: Duration) -> miette::Result<()> {
        let killed = (0..self.fleet.members.len()).filter(|instance| is_in_herd(*instance));
        let kills = killed.map(|instance| async move {
            match self.fault_locks[instance].try_lock() {
                Ok(_guard) => self.kill(instance, down).await,
                Err(_) => Ok(()),
            }
        });
        let done = futures::future::join_all(kills).await;
        done.into_iter().collect()
    }

    async fn pause(&self, instance: usize, length: Duration) -> miette::Result<()> {
        let member = self.member(instance);
        if !self.with_nodes {
            member.target.set_slow(length).await;
            tokio::time::sleep(length).await;
            member.target.set_slow(Duration::ZERO).await;
            return Ok(());
        }
        let from_us = unix_now_us();
        self.record_node_lost(instance);
        let node = member.node.lock().await;
        if let Some(node) = &*node {
            node.pause().into_diagnostic()?;
            tokio::time::sleep(length).await;
            node.resume().into_diagnostic()?;
        }
        self.record_node_back(instance);
        self.record_outage(instance, OutageKind::NodePaused, from_us);
        Ok(())
    }

    /// Blocks the links to a node. This isn't recorded as an outage, as it
    /// explains no missing answer: a node that accepted a call has to answer
    /// that the outcome is unknown.
    async fn isolate(&self, instance: usize, length: Duration) {
        let links = &self.member(instance).links;
        self.record_node_lost(instance);
        links.iter().for_each(|link| link.set_blocked(true, true));
        tokio::time::sleep(length).await;
        links.iter().for_each(|link| link.set_blocked(false, false));
        self.record_node_back(instance);
    }

    async fn crash_target(&self, instance: usize, down: Duration) -> miette::Result<()> {
        let member = self.member(instance);
        let from_us = unix_now_us();
        member.target.crash().await;
        self.log.record(Event::Crashed {
            target: member.instance.id.clone(),
        });
        tokio::time::sleep(down).await;
        member.target.restart().await.into_diagnostic()?;
        self.record_outage(instance, OutageKind::TargetCrashed, from_us);
        Ok(())
    }

    /// Injects a fault of a target for its duration.
    async fn inject_target_fault(&self, fault: Fault) {
        let Some(instance) = fault.instance() else {
            return;
        };
        let target = &self.member(instance).target;
        let from_us = unix_now_us();
        match fault {
            Fault::CutAnswers { .. } => target.set_cut_body(true).await,
            Fault::Hang { .. } => target.set_hang_after_run(true).await,
            Fault::DrainTarget { .. } => target.set_drain(true).await,
            Fault::SlowTarget { extra, .. } => target.set_slow(extra).await,
            Fault::LateAnswers { by, .. } => target.set_late_answers(LATE_ANSWER_EVERY, by).await,
            _ => target.set_health_report(HealthReport::Ill).await,
        }
        tokio::time::sleep(fault.length()).await;
        match fault {
            Fault::CutAnswers { .. } => {
                target.set_cut_body(false).await;
                self.record_outage(instance, OutageKind::AnswersCut, from_us);
            }
            Fault::Hang { .. } => target.set_hang_after_run(false).await,
            Fault::DrainTarget { .. } => target.set_drain(false).await,
            Fault::SlowTarget { .. } => target.set_slow(Duration::ZERO).await,
            Fault::LateAnswers { .. } => target.set_late_answers(0, Duration::ZERO).await,
            _ => target.set_health_report(HealthReport::Truth).await,
        }
    }

    /// Injects a fault of the platform for its duration.
    async fn inject_platform_fault(&self, fault: Fault) -> miette::Result<()> {
        let platform = &self.fleet.platform;
        self.log.record(Event::SourceLost);
        match fault {
            Fault::Outage { .. } => platform.set_outage(true),
            Fault::Stale { .. } => platform.set_stale(true),
            Fault::StepBack { .. } => self.serve_older_catalogue()?,
            Fault::ListLag { lag, .. } => platform.set_list_lag(lag),
            Fault::SlowPlatform { delay, .. } => platform.set_answer_delay(delay),
            _ => {}
        }
        tokio::time::sleep(fault.length()).await;
        match fault {
            Fault::Outage { .. } => platform.set_outage(false),
            Fault::Stale { .. } | Fault::StepBack { .. } => platform.set_stale(false),
            Fault::ListLag { lag, .. } => {
                platform.set_list_lag(Duration::ZERO);
                // A list published at the end is still delayed by the lag.
                tokio::time::sleep(lag).await;
            }
            _ => platform.set_answer_delay(Duration::ZERO),
        }
        self.log.record(Event::SourceBack);
        Ok(())
    }

    fn serve_older_catalogue(&self) -> miette::Result<()> {
        let last = self.operators.last_revision(Stream::Catalogue);
        let older = Revision::new(last.saturating_sub(1).max(1)).into_diagnostic()?;
        let platform = &self.fleet.platform;
        platform
            .set_stale_revision(Stream::Catalogue, older)
            .into_diagnostic()
    }

    async fn start(&self, instance: usize) -> miette::Result<()> {
        if self.with_nodes {
            self.member(instance).start_node().await.into_diagnostic()?;
        }
        self.record_node_back(instance);
        Ok(())
    }

    fn record_node_lost(&self, instance: usize) {
        let node = self.member(instance).instance.id.clone();
        self.log.record(Event::NodeLost { node });
    }

    fn record_node_back(&self, instance: usize) {
        let node = self.member(instance).instance.id.clone();
        self.log.record(Event::NodeBack { node });
    }

    fn record_outage(&self, instance: usize, kind: OutageKind, from_us: u64) {
        self.log.add_outage(Outage {
            instance,
            entry: self.member(instance).ingress,
            kind,
            from_us,
            to_us: unix_now_us(),
        });
    }
}
