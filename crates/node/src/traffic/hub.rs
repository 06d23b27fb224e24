//! The state that the traffic threads of one node share.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;
use sassafrasspool_core::Admission;
use sassafrasspool_core::AdmissionSettings;
use sassafrasspool_core::CallerLimits;
use sassafrasspool_core::ColdStart;
use sassafrasspool_core::ColdTolerance;
use sassafrasspool_core::Content;
use sassafrasspool_core::Deadline;
use sassafrasspool_core::DedupWindow;
use sassafrasspool_core::DomainName;
use sassafrasspool_core::KindName;
use sassafrasspool_core::Link;
use sassafrasspool_core::Locality;
use sassafrasspool_core::Phase;
use sassafrasspool_core::Reason;
use sassafrasspool_core::Refusal;
use sassafrasspool_core::RegionName;
use sassafrasspool_core::Result;
use sassafrasspool_core::ServiceName;
use sassafrasspool_core::Step;
use sassafrasspool_core::TargetGeneration;
use sassafrasspool_core::Tick;
use sassafrasspool_core::Transfer;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::answer_body::DeliveryLog;
use super::answer_body::LinkShare;
use super::answer_memory::AnswerMemory;
use super::body_memory::BodyMemory;
use super::counters::Counters;
use super::inbound::body_intake::UploadLimiter;
use super::outbound::kind_timeouts::KindTimeouts;
use super::outbound::returns::Returns;
use super::parents::Parents;
use super::stage_latencies::StageLatencies;
use super::target::Pool;
use super::target::crash_watch::CrashWatch;
use super::target::local_generations::LocalGenerations;
use crate::Settings;
use crate::Shared;
use crate::shared::LocalColdTracker;

/// The shared state of a node's traffic side.
#[derive(Debug)]
pub(super) struct Hub {
    pub(super) shared: Arc<Shared>,
    /// The service of the local target.
    pub(super) service: ServiceName,
    /// The region of the local target.
    pub(super) region: RegionName,
    /// The failure domain of the local target.
    pub(super) domain: DomainName,
    pub(super) pool: Arc<Pool>,
    pub(super) local_generations: LocalGenerations,
    pub(super) admission: Admission,
    /// The load that the local target tolerates while it is cold.
    pub(super) cold_tolerance: ColdTolerance,
    pub(super) body_memory: BodyMemory,
    /// Memory for large answers that wait for the link.
    pub(super) answer_memory: Arc<AnswerMemory>,
    pub(super) uploads: UploadLimiter,
    pub(super) crash_watch: CrashWatch,
    pub(super) parents: Parents,
    pub(super) kind_timeouts: KindTimeouts,
    /// The promises to refused callers, if the settings ask that returning callers go before
    /// others.
    pub(super) returns: Option<Returns>,
    pub(super) stages: StageLatencies,
    pub(super) ingress: Counters,
    pub(super) egress: Counters,
    pub(super) peers: Counters,
    /// The requests with a key that the local target has run.
    pub(super) dedup_window: DedupWindow,
    /// The most bytes of an answer that are stored for repeated requests.
    pub(super) max_stored_answer_bytes: usize,
    /// Cancelled when the node's stop is requested.
    pub(super) cancel: CancellationToken,
    /// Cancelled when connections are to close, each as soon as it is idle.
    pub(super) closing: CancellationToken,
    /// Cancelled when connections are to be aborted.
    pub(super) abort: CancellationToken,
    /// The tasks that serve connections.
    pub(super) connections: TaskTracker,
}

impl Hub {
    /// Creates the state, and sets the node's locality and service in `shared`.
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
        let locality = Locality {
            instance: cfg.instance.clone(),
            domain: cfg.domain.clone(),
            region: cfg.region.clone(),
        };
        let dedup_window = DedupWindow::new(cfg.repeat, cfg.instance.clone(), cfg.service.clone())?;
        shared.configure_routing(locality, dedup_window.clone());
        shared.set_service(cfg.service.clone());
        shared.set_link(cfg.link.rate.map(Link::new));
        // A previous process of the node used the ports that this one listens on.
        let admission = Admission::new(AdmissionSettings::default(), cfg.target.slots)?
            .with_predecessor_end(Tick::ZERO);
        let limit = cfg.target.slots.min(cfg.target.connections);
        let feature = shared.dialect().return_priority_feature;
        let prefers_returning = cfg.features.iter().any(|name| name == feature);
        Ok(Hub {
            shared,
            service: cfg.service.clone(),
            region: cfg.region.clone(),
            domain: cfg.domain.clone(),
            pool: Pool::new(cfg.target.addr, limit),
            local_generations: LocalGenerations::default(),
            admission,
            cold_tolerance: cfg.target.cold_tolerance,
            body_memory: BodyMemory::new(),
            answer_memory: Arc::default(),
            uploads: UploadLimiter::new(cfg.target.slots),
            crash_watch: CrashWatch::default(),
            parents: Parents::default(),
            kind_timeouts: KindTimeouts::default(),
            returns: prefers_returning.then(Returns::new),
            stages: StageLatencies::new(),
            ingress: Counters::new("ingress"),
            egress: Counters::new("egress"),
            peers: Counters::new("peers"),
            dedup_window,
            max_stored_answer_bytes: cfg.repeat.max_answer_bytes,
            cancel,
            closing: CancellationToken::new(),
            abort: CancellationToken::new(),
            connections: TaskTracker::new(),
        })
    }

    /// Records the listed generation of the local target. If it is new, closes the idle
    /// connections to the previous generation.
    ///
    /// A target that restarts under the same name isn't detected by a refusal: a connection
    /// to the previous process would accept a request and not answer until its deadline.
    /// Requests in flight end with their connections.
    pub(super) fn update_listed_generation(&self, listed: &TargetGeneration) {
        if self.local_generations.update_listed(listed) {
            tracing::info!(
                target = listed.id.as_str(),
                born = listed.started_ms,
                "the local target has restarted"
            );
            self.pool.close_idle();
            let now = self.shared.clock().now();
            self.shared.target_statements().reset(now);
        }
    }

    /// Records the generation that the target states when it declines a request for another. It
    /// may have started a moment ago.
    pub(super) fn record_answering_generation(&self, answering: &HeaderValue) {
        if let Ok(generation) = answering.to_str() {
            self.update_cold_tracker(|tracker, now, start| {
                tracker.record_answering_generation(now, start, generation);
            });
        }
    }

    /// Records that the process of the target has ended and another one runs.
    pub(super) fn record_target_restart(&self) {
        self.update_cold_tracker(LocalColdTracker::record_restart);
    }

    fn update_cold_tracker(
        &self,
        update: impl FnOnce(&LocalColdTracker, Tick, Option<&ColdStart>),
    ) {
        let routes = self.shared.routes();
        let routes = routes.as_ref();
        let service = routes.and_then(|routes| routes.local_service(Some(&self.service)));
        let start = service.and_then(|service| service.entry.cold_start.as_ref());
        let now = self.shared.clock().now();
        update(self.shared.cold_tracker(), now, start);
    }

    /// Waits until a request is quarantined. Returns its refusal.
    pub(super) async fn wait_quarantined(&self, step: Step, content: Option<&Content>) -> Refusal {
        let Some(content) = content else {
            return std::future::pending().await;
        };
        let quarantine = self.shared.quarantine();
        let left = quarantine
            .wait_until_quarantined(self.shared.clock(), content)
            .await;
        Refusal::not_run(step, Reason::Quarantined).with_retry_after(left)
    }

    /// Waits until a request may run. A request under which targets have just crashed is held
    /// until answers of other targets to it would be reported.
    ///
    /// Returns how much longer it is in quarantine, if it is.
    pub(super) async fn hold_suspect(&self, content: Option<&Content>) -> Option<Duration> {
        let quarantine = self.shared.quarantine();
        quarantine.hold(self.shared.clock(), content?).await
    }

    /// Checks that a request isn't quarantined.
    ///
    /// # Errors
    ///
    /// Refuses it as not run, with the remaining time of the quarantine.
    pub(super) fn check_quarantine(
        &self,
        step: Step,
        content: Option<&Content>,
    ) -> std::result::Result<(), Refusal> {
        let now = self.shared.clock().now();
        match content.and_then(|content| self.shared.quarantine().time_left(now, content)) {
            Some(left) => Err(Refusal::not_run(step, Reason::Quarantined).with_retry_after(left)),
            None => Ok(()),
        }
    }

    /// What the large answer to a request needs to be sent by the link.
    pub(super) fn link_share(
        &self,
        transfer: Transfer,
        id: Option<&HeaderValue>,
        kind: KindName,
        deadline: Deadline,
    ) -> LinkShare {
        let id = id.filter(|_| !self.shared.log().is_silent());
        let log = id.map(|id| DeliveryLog::new(&self.shared, id.clone(), kind, deadline.tick()));
        LinkShare {
            transfer,
            memory: Arc::clone(&self.answer_memory),
            clock: *self.shared.clock(),
            log,
        }
    }

    /// The limits for callers that are in force.
    pub(super) fn caller_limits(&self) -> CallerLimits {
        let routes = self.shared.routes();
        routes.map_or_else(CallerLimits::default, |routes| {
            *routes.view.snapshot.caller_limits()
        })
    }

    /// Whether the local target serves the service, both by the settings at the start of the
    /// process and by the current ones.
    pub(super) fn serves(&self, service: &str) -> bool {
        let current = self.shared.service();
        self.service.as_str() == service
            && current.is_some_and(|current| current.as_str() == service)
    }

    /// Whether answers close their callers' connections, because callers should connect to
    /// another node.
    pub(super) fn closes_caller_connections(&self) -> bool {
        self.shared.is_stopping() || self.is_leaving()
    }

    /// Whether the local endpoint accepts no new work any more.
    pub(super) fn is_leaving(&self) -> bool {
        self.shared.phase() >= Phase::Draining || self.cancel.is_cancelled()
    }

    /// Whether the local endpoint was removed from the list, or its target stated that it
    /// leaves, too long ago for new requests to be passed to the target.
    pub(super) fn has_departed(&self) -> bool {
        let routes = self.shared.routes();
        let now = self.shared.clock().now();
        routes.is_some_and(|routes| routes.has_departed(now))
            || self.shared.target_statements().has_departed(now)
    }
}
