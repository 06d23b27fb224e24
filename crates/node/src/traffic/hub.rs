//! What the traffic threads of one node share.

use std::sync::Arc;
use std::time::Duration;

use sassafrasspool_core::Admission;
use sassafrasspool_core::AdmissionSettings;
use sassafrasspool_core::ColdTolerance;
use sassafrasspool_core::Content;
use sassafrasspool_core::DedupWindow;
use sassafrasspool_core::Locality;
use sassafrasspool_core::Phase;
use sassafrasspool_core::Reason;
use sassafrasspool_core::Refusal;
use sassafrasspool_core::RegionName;
use sassafrasspool_core::Result;
use sassafrasspool_core::ServiceName;
use sassafrasspool_core::Step;
use sassafrasspool_core::TargetGeneration;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::bodies::Bodies;
use super::counters::Counters;
use super::inbound::body_intake::Arrivals;
use super::outbound::patience::Patiences;
use super::parents::Parents;
use super::stages::Stages;
use super::target::Pool;
use super::target::crash_watch::CrashWatch;
use super::target::lives::OwnLife;
use crate::Settings;
use crate::Shared;

/// One node's traffic side.
#[derive(Debug)]
pub(super) struct Hub {
    pub(super) shared: Arc<Shared>,
    /// The service of the own target.
    pub(super) service: ServiceName,
    /// Where the own target serves.
    pub(super) region: RegionName,
    pub(super) pool: Arc<Pool>,
    pub(super) own_life: OwnLife,
    pub(super) admission: Admission,
    /// What the own target tolerates while it is cold.
    pub(super) cold_tolerance: ColdTolerance,
    pub(super) bodies: Bodies,
    pub(super) arrivals: Arrivals,
    pub(super) crash_watch: CrashWatch,
    pub(super) parents: Parents,
    pub(super) patience: Patiences,
    pub(super) stages: Stages,
    pub(super) ingress: Counters,
    pub(super) egress: Counters,
    pub(super) peers: Counters,
    /// The requests with a key that the own target has run.
    pub(super) repeat: DedupWindow,
    /// Bytes of an answer that are kept for repeats.
    pub(super) max_stored: usize,
    /// Cancelled when the node is to stop.
    pub(super) cancel: CancellationToken,
    /// Cancelled when connections are to close, each once it is idle.
    pub(super) closing: CancellationToken,
    /// Cancelled when connections are to be cut.
    pub(super) cut: CancellationToken,
    /// The connections that are served.
    pub(super) connections: TaskTracker,
}

impl Hub {
    /// Puts the parts together and says where the node stands.
    ///
    /// # Errors
    ///
    /// Fails if the target has no slots or too many, or if the window of
    /// request keys has no bounds.
    pub(super) fn new(
        cfg: &Settings,
        shared: Arc<Shared>,
        cancel: CancellationToken,
    ) -> Result<Hub> {
        let position = Locality {
            instance: cfg.instance.clone(),
            domain: cfg.domain.clone(),
            region: cfg.region.clone(),
        };
        let repeat = DedupWindow::new(cfg.repeat, cfg.instance.clone(), cfg.service.clone())?;
        shared.place(position, repeat.clone());
        shared.set_service(cfg.service.clone());
        let admission = Admission::new(AdmissionSettings::default(), cfg.target.slots)?;
        let limit = cfg.target.slots.min(cfg.target.connections);
        Ok(Hub {
            shared,
            service: cfg.service.clone(),
            region: cfg.region.clone(),
            pool: Pool::new(cfg.target.addr, limit),
            own_life: OwnLife::default(),
            admission,
            cold_tolerance: cfg.target.cold,
            bodies: Bodies::new(),
            arrivals: Arrivals::new(cfg.target.slots),
            crash_watch: CrashWatch::default(),
            parents: Parents::default(),
            patience: Patiences::default(),
            stages: Stages::new(),
            ingress: Counters::new("ingress"),
            egress: Counters::new("egress"),
            peers: Counters::new("peers"),
            repeat,
            max_stored: cfg.repeat.max_answer_bytes,
            cancel,
            closing: CancellationToken::new(),
            cut: CancellationToken::new(),
            connections: TaskTracker::new(),
        })
    }

    /// Closes what is idle to an earlier start of the own target.
    ///
    /// A target that starts again under its name is found by no refusal of its
    /// own: a connection to the process before would take a request and stay
    /// silent until its deadline. What is under way ends with its connection.
    pub(super) fn follow_target(&self, listed: &TargetGeneration) {
        if self.own_life.follow(listed) {
            tracing::info!(
                target = listed.id.as_str(),
                born = listed.started_ms,
                "the own target started anew"
            );
            self.pool.clear();
        }
    }

    /// For how long no target is to run a request, if targets crash under it.
    pub(super) fn quarantined_for(&self, content: Option<&Content>) -> Option<Duration> {
        let now = self.shared.clock().now();
        self.shared.quarantine().holds(now, content?)
    }

    /// Waits until targets crash under a request; returns its refusal.
    pub(super) async fn quarantined(&self, step: Step, content: Option<&Content>) -> Refusal {
        let Some(content) = content else {
            return std::future::pending().await;
        };
        let quarantine = self.shared.quarantine();
        let left = quarantine.entered(self.shared.clock(), content).await;
        Refusal::not_run(step, Reason::Quarantined).with_retry_after(left)
    }

    /// Lets a request pass unless targets crash under it.
    ///
    /// # Errors
    ///
    /// Refuses it as not run, and says for how long.
    pub(super) fn check_quarantine(
        &self,
        step: Step,
        content: Option<&Content>,
    ) -> std::result::Result<(), Refusal> {
        match self.quarantined_for(content) {
            Some(left) => Err(Refusal::not_run(step, Reason::Quarantined).with_retry_after(left)),
            None => Ok(()),
        }
    }

    /// Whether the own target serves that service, by the settings that the process
    /// began with and by those of now.
    pub(super) fn serves(&self, service: &str) -> bool {
        let now = self.shared.service();
        self.service.as_str() == service && now.is_some_and(|now| now.as_str() == service)
    }

    /// Whether callers are to open no new connection here.
    pub(super) fn sends_callers_away(&self) -> bool {
        self.shared.is_stopping() || self.is_leaving()
    }

    /// Whether the own endpoint takes no new work any more.
    pub(super) fn is_leaving(&self) -> bool {
        self.shared.phase() >= Phase::Draining || self.cancel.is_cancelled()
    }

    /// Whether the list took the own endpoint away too long ago for anything
    /// new to be handed to its target.
    pub(super) fn has_departed(&self) -> bool {
        let routes = self.shared.routes();
        let now = self.shared.clock().now();
        routes.is_some_and(|routes| routes.has_departed(now))
    }
}
