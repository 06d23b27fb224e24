//! The control task's access to the rest of the node and to other processes.

use std::sync::Arc;

use metrics::counter;
use sassafrasspool_core::Call;
use sassafrasspool_core::Event;
use sassafrasspool_core::PeerReply;
use sassafrasspool_core::SourceResult;
use sassafrasspool_wire::peer::PeerPool;
use sassafrasspool_wire::platform::Source;
use sassafrasspool_wire::platform::SourceRequest;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::ControlCounts;
use super::ControlEvent;
use super::ControlHandle;
use super::SourceMonitor;
use super::fault_injector::FaultInjector;
use crate::AuditTrail;
use crate::Shared;
use crate::metrics::names;

/// The control task's access to peers, the platform, the traffic side and the
/// audit trail.
#[derive(Debug, Clone)]
pub(crate) struct ControlContext {
    /// State shared with the traffic side.
    pub(crate) shared: Arc<Shared>,
    /// The audit trail, to which state changes are written.
    pub(crate) audit: Arc<AuditTrail>,
    /// Connections to other nodes.
    pub(crate) pool: Arc<PeerPool>,
    /// The source that reads the platform.
    pub(crate) platform: Arc<dyn Source>,
    /// Whether the platform answers reads.
    pub(crate) source_monitor: Arc<SourceMonitor>,
    /// Counters of control traffic.
    pub(crate) counts: ControlCounts,
    /// The control task, which gets the results of calls and reads.
    pub(crate) control: ControlHandle,
    /// Background tasks of the node.
    pub(crate) tasks: TaskTracker,
    /// Cancels the background tasks.
    pub(crate) cancel: CancellationToken,
    /// Simulated faults of the control side.
    pub(crate) fault_injector: FaultInjector,
}

impl ControlContext {
    /// Starts a call to a peer; its reply or failure is sent to the control task
    /// as an event.
    pub(crate) fn start_call(&self, call: Call) {
        let context = self.clone();
        self.spawn(async move {
            let id = call.id;
            let event = match context.exchange(call).await {
                Some(reply) => Event::Reply { call: id, reply },
                None => Event::CallFailed { call: id },
            };
            context.control.send(ControlEvent::Spread(event)).await;
        });
    }

    /// Starts a read of the platform; the result is sent to the control task as
    /// an event.
    pub(crate) fn start_read(&self, req: SourceRequest) {
        let stream = req.stream;
        self.counts.add_read();
        let context = self.clone();
        self.spawn(async move {
            let result = context.read_platform(req).await;
            let label = result_label(&result);
            counter!(names::READS, "stream" => stream.as_str(), "result" => label).increment(1);
            context.source_monitor.record_read(stream, &result);
            let event = Event::SourceRead { stream, result };
            context.control.send(ControlEvent::Spread(event)).await;
        });
    }

    async fn read_platform(&self, req: SourceRequest) -> SourceResult {
        let result = match self.fault_injector.is_platform_cut() {
            true => {
                tokio::time::sleep(req.wait).await;
                None
            }
            false => Some(self.platform.read(req).await),
        };
        match result {
            Some(result) if !self.fault_injector.is_platform_cut() => result,
            _ => SourceResult::Failed {
                reason: "disconnected from the platform by fault injection".to_owned(),
            },
        }
    }

    /// Runs a background task until it finishes or the node stops.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let cancel = self.cancel.clone();
        self.tasks.spawn(async move {
            cancel.run_until_cancelled(task).await;
        });
    }

    async fn exchange(&self, call: Call) -> Option<PeerReply> {
        let kind = call.message.kind();
        counter!(names::MESSAGES, "kind" => kind, "direction" => "out").increment(1);
        self.counts.add_sent(&call.message);
        if self.fault_injector.is_partitioned_from(call.addr) {
            tokio::time::sleep(call.timeout).await;
            return None;
        }
        let me = self.shared.me();
        let answer = self
            .pool
            .exchange(call.addr, me, &call.message, call.timeout);
        match answer.await {
            // A reply in flight when the partition began is lost as well.
            Ok(_) if self.fault_injector.is_partitioned_from(call.addr) => None,
            Ok(reply) => Some(reply),
            Err(err) => {
                counter!(names::CALLS_FAILED, "step" => err.step().as_str()).increment(1);
                tracing::debug!(%err, kind, "call to a peer failed");
                None
            }
        }
    }
}

/// The value of the metric label `result`.
fn result_label(result: &SourceResult) -> &'static str {
    match result {
        SourceResult::Catalogue { .. }
        | SourceResult::CatalogueItems { .. }
        | SourceResult::Instances { .. } => "value",
        SourceResult::Malformed { .. } => "malformed",
        SourceResult::Unchanged { .. } => "unchanged",
        SourceResult::NothingPublished => "nothing",
        SourceResult::Busy { .. } => "busy",
        SourceResult::Failed { .. } => "failed",
    }
}
