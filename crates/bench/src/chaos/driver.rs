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

use super::events::Stopped;
use super::fault::Fault;
use super::fault::in_herd;
use super::log::Log;
use super::log::now_us;
use super::operators::Operators;
use super::script::Script;
use crate::load::Fleet;
use crate::load::Member;
use crate::load::Outage;
use crate::load::OutageKind;

/// During a fault of late answers, one answer of this many is late.
const LATE_EVERY: u64 = 3;

/// Injects faults into a fleet.
#[derive(Debug)]
pub(super) struct Driver {
    pub(super) fleet: Arc<Fleet>,
    pub(super) operators: Operators,
    pub(super) log: Arc<Log>,
    /// Whether the fleet has nodes. Without nodes, faults of nodes are injected
    /// into the targets.
    pub(super) nodes: bool,
    pub(super) stops: Mutex<Vec<Stopped>>,
    /// By instance: locked while a fault of the instance lasts.
    pub(super) busy: Vec<tokio::sync::Mutex<()>>,
}

impl Driver {
    /// Injects every fault when it is due and waits until all faults are over.
    ///
    /// # Errors
    ///
    /// Fails if a fault can't be injected or a process can't be restarted.
    pub(super) async fn play(self: &Arc<Driver>, script: &Script) -> miette::Result<()> {
        let start = Instant::now();
        let mut under_way = JoinSet::new();
        for step in &script.steps {
            tokio::time::sleep_until(start + step.at).await;
            let driver = Arc::clone(self);
            let fault = step.fault;
            under_way.spawn(async move { driver.perform(fault).await });
        }
        while let Some(done) = under_way.join_next().await {
            done.into_diagnostic()??;
        }
        Ok(())
    }

    /// Injects a fault, unless an earlier one of the same instance still lasts.
    /// A drain takes as long as the requests in flight, so that the script can't
    /// plan its end.
    async fn perform(&self, fault: Fault) -> miette::Result<()> {
        let Some(instance) = fault.instance() else {
            return self.perform_alone(fault).await;
        };
        match self.busy[instance].try_lock() {
            Ok(_busy) => self.perform_alone(fault).await,
            Err(_) => Ok(()),
        }
    }

    async fn perform_alone(&self, fault: Fault) -> miette::Result<()> {
        match fault {
            Fault::Stop { instance, down } => self.stop(instance, down).await,
            Fault::Kill { instance, down } => self.kill(instance, down).await,
            Fault::KillHerd { down } => self.kill_herd(down).await,
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
            fault if fault.is_of_platform() => self.mislead(fault).await,
            fault => {
                self.hinder(fault).await;
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
            .list_as(instance, InstanceState::Leaving, platform, &self.log)?;
        if !self.nodes {
            member.target.set_drain(true).await;
            member.target.crash().await;
        }
        let status = member.stop_node().await.into_diagnostic()?;
        let cut = u64::from(status.is_some_and(|status| !status.success()));
        let stopped = Stopped {
            instance,
            at_us: now_us(),
        };
        self.stops
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(stopped);
        self.log.record(Event::DrainEnded { target, cut });
        self.lost(instance);
        tokio::time::sleep(down).await;
        if !self.nodes {
            member.target.set_drain(false).await;
            member.target.restart().await.into_diagnostic()?;
        }
        self.start(instance).await?;
        self.operators
            .list_as(instance, InstanceState::Live, platform, &self.log)
    }

    async fn kill(&self, instance: usize, down: Duration) -> miette::Result<()> {
        let from_us = now_us();
        if !self.nodes {
            return self.crash_target(instance, down).await;
        }
        self.lost(instance);
        self.member(instance).kill_node().await.into_diagnostic()?;
        tokio::time::sleep(down).await;
        self.start(instance).await?;
        self.note(instance, OutageKind::NodeKilled, from_us);
        Ok(())
    }

    async fn kill_herd(&self, down: Duration) -> miette::Result<()> {
        let herd = (0..self.fleet.members.len()).filter(|instance| in_herd(*instance));
        let kills = herd.map(|instance| async move {
            match self.busy[instance].try_lock() {
                Ok(_busy) => self.kill(instance, down).await,
                Err(_) => Ok(()),
            }
        });
        let done = futures::future::join_all(kills).await;
        done.into_iter().collect()
    }

    async fn pause(&self, instance: usize, length: Duration) -> miette::Result<()> {
        let member = self.member(instance);
        if !self.nodes {
            member.target.set_slow(length).await;
            tokio::time::sleep(length).await;
            member.target.set_slow(Duration::ZERO).await;
            return Ok(());
        }
        let from_us = now_us();
        self.lost(instance);
        let node = member.node.lock().await;
        if let Some(node) = &*node {
            node.pause().into_diagnostic()?;
            tokio::time::sleep(length).await;
            node.resume().into_diagnostic()?;
        }
        self.back(instance);
        self.note(instance, OutageKind::NodePaused, from_us);
        Ok(())
    }

    /// Blocks the links to a node. This isn't recorded as an outage, as it
    /// explains no missing answer: a node that accepted a call has to answer
    /// that the outcome is unknown.
    async fn isolate(&self, instance: usize, length: Duration) {
        let links = &self.member(instance).links;
        self.lost(instance);
        links.iter().for_each(|link| link.hold(true, true));
        tokio::time::sleep(length).await;
        links.iter().for_each(|link| link.hold(false, false));
        self.back(instance);
    }

    async fn crash_target(&self, instance: usize, down: Duration) -> miette::Result<()> {
        let member = self.member(instance);
        let from_us = now_us();
        member.target.crash().await;
        self.log.record(Event::Crashed {
            target: member.instance.id.clone(),
        });
        tokio::time::sleep(down).await;
        member.target.restart().await.into_diagnostic()?;
        self.note(instance, OutageKind::TargetCrashed, from_us);
        Ok(())
    }

    /// Injects a fault of a target for its duration.
    async fn hinder(&self, fault: Fault) {
        let Some(instance) = fault.instance() else {
            return;
        };
        let target = &self.member(instance).target;
        let from_us = now_us();
        match fault {
            Fault::CutAnswers { .. } => target.set_cut_body(true).await,
            Fault::Hang { .. } => target.set_hang_after_run(true).await,
            Fault::DrainTarget { .. } => target.set_drain(true).await,
            Fault::SlowTarget { extra, .. } => target.set_slow(extra).await,
            Fault::LateAnswers { by, .. } => target.late_answers(LATE_EVERY, by).await,
            _ => target.lie_about_health(HealthReport::Ill).await,
        }
        tokio::time::sleep(fault.length()).await;
        match fault {
            Fault::CutAnswers { .. } => {
                target.set_cut_body(false).await;
                self.note(instance, OutageKind::AnswersCut, from_us);
            }
            Fault::Hang { .. } => target.set_hang_after_run(false).await,
            Fault::DrainTarget { .. } => target.set_drain(false).await,
            Fault::SlowTarget { .. } => target.set_slow(Duration::ZERO).await,
            Fault::LateAnswers { .. } => target.late_answers(0, Duration::ZERO).await,
            _ => target.lie_about_health(HealthReport::Truth).await,
        }
    }

    /// Injects a fault of the platform for its duration.
    async fn mislead(&self, fault: Fault) -> miette::Result<()> {
        let platform = &self.fleet.platform;
        self.log.record(Event::SourceLost);
        match fault {
            Fault::Outage { .. } => platform.set_outage(true),
            Fault::Stale { .. } => platform.set_stale(true),
            Fault::StepBack { .. } => self.step_back()?,
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

    fn step_back(&self) -> miette::Result<()> {
        let last = self.operators.last_revision(Stream::Catalogue);
        let older = Revision::new(last.saturating_sub(1).max(1)).into_diagnostic()?;
        let platform = &self.fleet.platform;
        platform
            .set_stale_at(Stream::Catalogue, older)
            .into_diagnostic()
    }

    async fn start(&self, instance: usize) -> miette::Result<()> {
        if self.nodes {
            self.member(instance).start_node().await.into_diagnostic()?;
        }
        self.back(instance);
        Ok(())
    }

    fn lost(&self, instance: usize) {
        let node = self.member(instance).instance.id.clone();
        self.log.record(Event::NodeLost { node });
    }

    fn back(&self, instance: usize) {
        let node = self.member(instance).instance.id.clone();
        self.log.record(Event::NodeBack { node });
    }

    fn note(&self, instance: usize, kind: OutageKind, from_us: u64) {
        self.log.add(Outage {
            instance,
            entry: self.member(instance).ingress,
            kind,
            from_us,
            to_us: now_us(),
        });
    }
}
