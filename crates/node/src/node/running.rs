//! A handle to a running node.

use std::sync::Arc;

use sassafrasspool_core::Error;
use sassafrasspool_core::Event;
use sassafrasspool_core::Result;
use sassafrasspool_core::Snapshot;
use sassafrasspool_core::SpreadStatus;
use sassafrasspool_core::Step;
use sassafrasspool_wire::admin::AuditPage;
use sassafrasspool_wire::admin::ControlStats;
use tokio::sync::watch;

use super::NodeAddrs;
use super::dissemination;
use crate::Settings;
use crate::Shared;
use crate::control::ControlContext;
use crate::control::ControlEvent;
use crate::control::FaultInjector;
use crate::control::StopReport;

/// A running node; clones are handles to the same node.
///
/// Dropping all handles doesn't stop the node: [`RunningNode::stop`] or the token
/// that it was started with does.
#[derive(Debug, Clone)]
pub struct RunningNode {
    settings: Arc<Settings>,
    context: ControlContext,
    addrs: NodeAddrs,
    ended: watch::Receiver<Option<StopReport>>,
}

impl RunningNode {
    pub(super) fn new(
        settings: Arc<Settings>,
        context: ControlContext,
        addrs: NodeAddrs,
        ended: watch::Receiver<Option<StopReport>>,
    ) -> RunningNode {
        RunningNode {
            settings,
            context,
            addrs,
            ended,
        }
    }

    /// The settings at its start.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// The addresses that it listens on.
    pub fn addrs(&self) -> NodeAddrs {
        self.addrs
    }

    /// The state shared by its control and traffic sides.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.context.shared
    }

    /// The snapshot in force; `None` before the first one.
    pub fn snapshot(&self) -> Option<Arc<Snapshot>> {
        let view = self.context.shared.view()?;
        Some(Arc::clone(&view.snapshot))
    }

    /// The counters of its control traffic.
    pub fn control_stats(&self) -> ControlStats {
        self.context.counts.stats()
    }

    /// Simulates faults of its control side, for tests and benchmarks.
    pub fn fault_injector(&self) -> &FaultInjector {
        &self.context.fault_injector
    }

    /// The records of its audit trail with numbers above `after`.
    pub fn audit(&self, after: u64) -> AuditPage {
        self.context.audit.page(after)
    }

    /// The dissemination status of the node.
    ///
    /// # Errors
    ///
    /// Fails if the node has stopped.
    pub async fn spread_status(&self) -> Result<SpreadStatus> {
        self.context.control.status().await
    }

    /// Applies the parts of new settings that a running node can change: the
    /// service of its target and the seeds. Returns the names of the parts that
    /// changed and take effect only after a restart.
    pub async fn reload(&self, new: &Settings) -> Vec<&'static str> {
        self.context.shared.set_service(new.service.clone());
        let seeds = dissemination::seeds_without_self(&new.seeds, self.addrs.control);
        let event = ControlEvent::Spread(Event::Seeds(seeds));
        // A failed send is ignored: a node that has stopped needs no seeds.
        self.context.control.send(event).await;
        self.settings.parts_needing_restart(new)
    }

    /// Drains the endpoint: it accepts no new requests and announces this to the
    /// other nodes. Returns once no request is in flight; the node keeps
    /// running.
    pub async fn drain(&self) {
        if self.context.control.send(ControlEvent::Drain).await {
            let mut phase = self.context.shared.watch_phase();
            let draining = phase.wait_for(|phase| *phase >= sassafrasspool_core::Phase::Draining);
            tokio::select! {
                _ = draining => {}
                () = self.context.cancel.cancelled() => return,
            }
            self.context.shared.in_flight().wait_until_idle().await;
        }
    }

    /// Drains and then stops the node. Requests are cut only if they are still in
    /// flight when the drain timeout of the settings has passed.
    ///
    /// # Errors
    ///
    /// Fails if the node's thread ended without a report.
    pub async fn stop(&self) -> Result<StopReport> {
        self.context.control.send(ControlEvent::Stop).await;
        self.wait_until_ended().await
    }

    /// Waits until the node has stopped, for any reason.
    ///
    /// # Errors
    ///
    /// Fails if the node's thread ended without a report.
    pub async fn wait_until_ended(&self) -> Result<StopReport> {
        let mut ended = self.ended.clone();
        let report = ended.wait_for(Option::is_some).await;
        let report = report.ok().and_then(|report| *report);
        report.ok_or_else(|| Error::new(Step::Admin, "the node ended without a report"))
    }
}
