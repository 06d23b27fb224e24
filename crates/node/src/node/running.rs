//! A node that was started.

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
use super::spread;
use crate::Settings;
use crate::Shared;
use crate::control::ControlEvent;
use crate::control::Gate;
use crate::control::Outside;
use crate::control::StopReport;

/// A running node; cloning it gives another handle to the same.
///
/// Dropping all handles doesn't end it: [`RunningNode::stop`] or the token
/// that it was started with does.
#[derive(Debug, Clone)]
pub struct RunningNode {
    settings: Arc<Settings>,
    outside: Outside,
    addrs: NodeAddrs,
    ended: watch::Receiver<Option<StopReport>>,
}

impl RunningNode {
    pub(super) fn new(
        settings: Arc<Settings>,
        outside: Outside,
        addrs: NodeAddrs,
        ended: watch::Receiver<Option<StopReport>>,
    ) -> RunningNode {
        RunningNode {
            settings,
            outside,
            addrs,
            ended,
        }
    }

    /// What it was told at its start.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Where it listens.
    pub fn addrs(&self) -> NodeAddrs {
        self.addrs
    }

    /// What its control and traffic sides share.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.outside.shared
    }

    /// What is in force, if anything is yet.
    pub fn snapshot(&self) -> Option<Arc<Snapshot>> {
        let view = self.outside.shared.view()?;
        Some(Arc::clone(&view.snapshot))
    }

    /// What its control traffic came to so far.
    pub fn control_stats(&self) -> ControlStats {
        self.outside.counts.stats()
    }

    /// Holds its control side back, for tests and benchmarks.
    pub fn gate(&self) -> &Gate {
        &self.outside.gate
    }

    /// The records of its audit trail after number `after`.
    pub fn audit(&self, after: u64) -> AuditPage {
        self.outside.audit.page(after)
    }

    /// How the spreading of versions is.
    ///
    /// # Errors
    ///
    /// Fails if the node has ended.
    pub async fn spread_status(&self) -> Result<SpreadStatus> {
        self.outside.control.status().await
    }

    /// Takes over what a running node can of other settings: the service of its
    /// target and the seeds. Returns the parts that wait for a restart.
    pub async fn reload(&self, new: &Settings) -> Vec<&'static str> {
        self.outside.shared.set_service(new.service.clone());
        let seeds = spread::other_seeds(&new.seeds, self.addrs.control);
        let event = ControlEvent::Spread(Event::Seeds(seeds));
        // A node that has ended needs no seeds.
        self.outside.control.send(event).await;
        self.settings.parts_needing_restart(new)
    }

    /// Begins to drain: the endpoint takes nothing new, and the others hear of
    /// it. Returns once nothing is in flight; the node goes on to run.
    pub async fn drain(&self) {
        if self.outside.control.send(ControlEvent::Drain).await {
            let mut phase = self.outside.shared.watch_phase();
            let leaving = phase.wait_for(|phase| *phase >= sassafrasspool_core::Phase::Draining);
            tokio::select! {
                _ = leaving => {}
                () = self.outside.cancel.cancelled() => return,
            }
            self.outside.shared.in_flight().idle().await;
        }
    }

    /// Drains and then ends the node, without cutting a request unless the
    /// settings' bound is over.
    ///
    /// # Errors
    ///
    /// Fails if the node's thread ended otherwise.
    pub async fn stop(&self) -> Result<StopReport> {
        self.outside.control.send(ControlEvent::Stop).await;
        self.ended().await
    }

    /// Waits until the node has ended, for whatever reason.
    ///
    /// # Errors
    ///
    /// Fails if its thread ended without a report.
    pub async fn ended(&self) -> Result<StopReport> {
        let mut ended = self.ended.clone();
        let report = ended.wait_for(Option::is_some).await;
        let report = report.ok().and_then(|report| *report);
        report.ok_or_else(|| Error::new(Step::Admin, "the node ended without a report"))
    }
}
