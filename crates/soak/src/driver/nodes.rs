//! Injects faults into node processes.

use std::time::Duration;

use miette::IntoDiagnostic;
use rustix::process::Signal;
use sassafrasspool_bench::chaos::events::NodeStop;
use sassafrasspool_bench::chaos::log::unix_now_us;
use sassafrasspool_bench::load::OutageKind;
use sassafrasspool_core::InstanceState;
use sassafrasspool_core::history::Event;

use super::Driver;
use super::lock;
use crate::schedule::NodeFault;

/// The longest time before its exit in which a stopping node closes idle connections, in
/// microseconds. While it refuses requests, the node announces the close in each answer;
/// it exits shortly after.
const IDLE_CLOSE_US: u64 = 500_000;

impl Driver {
    /// Applies a fault to the process of a node.
    pub(super) async fn apply_node_fault(
        &self,
        n: usize,
        fault: NodeFault,
        length: Duration,
    ) -> miette::Result<()> {
        let member = self.member(n);
        match fault {
            NodeFault::Stop => self.stop(n, length).await,
            NodeFault::Kill => self.kill(n, length).await,
            NodeFault::Freeze => {
                let from_us = unix_now_us();
                self.begin_impairment(n);
                member.signal_node(Signal::STOP).await.into_diagnostic()?;
                tokio::time::sleep(length).await;
                member.signal_node(Signal::CONT).await.into_diagnostic()?;
                self.end_impairment(n);
                self.record_stall(n, from_us);
                self.record_outage(n, OutageKind::NodePaused, from_us);
                Ok(())
            }
            NodeFault::ReloadBySignal => {
                member
                    .change_settings(unix_now_us() % 1_000)
                    .into_diagnostic()?;
                member.signal_node(Signal::HUP).await.into_diagnostic()
            }
            NodeFault::ReloadByFile => member
                .change_settings(unix_now_us() % 1_000)
                .into_diagnostic(),
        }
    }

    async fn stop(&self, n: usize, down: Duration) -> miette::Result<()> {
        let member = self.member(n);
        let from_us = unix_now_us();
        let target = self.id(n);
        self.publish_state(n, Some(InstanceState::Leaving)).await?;
        // The bound of the drain counts from when the platform accepted the list; a frozen
        // platform accepts it late.
        let began = Event::DrainBegan {
            target: target.clone(),
        };
        self.log.record(began);
        let cut_nothing = member.stop_node().await.into_diagnostic()?;
        self.record_outage(
            n,
            OutageKind::IdleConnectionsClosed,
            unix_now_us().saturating_sub(IDLE_CLOSE_US),
        );
        lock(&self.stops).push(NodeStop {
            instance: n,
            at_us: unix_now_us(),
        });
        let cut = u64::from(!cut_nothing);
        self.log.record(Event::DrainEnded { target, cut });
        self.begin_impairment(n);
        tokio::time::sleep(down).await;
        member.start_node().await.into_diagnostic()?;
        self.end_planned_stop(n);
        self.record_outage(n, OutageKind::CallerConnectionsCut, from_us);
        self.publish_state(n, Some(InstanceState::Live)).await
    }

    async fn kill(&self, n: usize, down: Duration) -> miette::Result<()> {
        let from_us = unix_now_us();
        self.begin_impairment(n);
        self.member(n).kill_node().await.into_diagnostic()?;
        lock(&self.kills).push(NodeStop {
            instance: n,
            at_us: unix_now_us(),
        });
        tokio::time::sleep(down).await;
        self.member(n).start_node().await.into_diagnostic()?;
        self.end_impairment(n);
        self.record_outage(n, OutageKind::NodeKilled, from_us);
        Ok(())
    }

    /// Kills every second node at once, except for nodes to which a fault is being applied
    /// already.
    pub(super) async fn kill_every_second_node(&self, down: Duration) -> miette::Result<()> {
        let nodes = (0..self.fleet.members.len()).step_by(2);
        let mut kills = Vec::new();
        for n in nodes {
            kills.push(async move {
                match self.node_locks[n].try_lock() {
                    Ok(_guard) => self.kill(n, down).await,
                    Err(_) => Ok(()),
                }
            });
        }
        let done = futures::future::join_all(kills).await;
        done.into_iter().collect()
    }

    /// Records that a node runs again after a planned stop, and that it is still impaired if
    /// another fault keeps it from receiving new versions.
    fn end_planned_stop(&self, n: usize) {
        let mut impairments = lock(&self.impairments);
        let is_unimpaired = impairments.end(n);
        self.log.record(Event::NodeBack { node: self.id(n) });
        if !is_unimpaired {
            self.log.record(Event::NodeLost { node: self.id(n) });
        }
    }
}
