//! What the decisions act on.

use std::sync::Arc;

use metrics::counter;
use sassafrasspool_core::Call;
use sassafrasspool_core::Event;
use sassafrasspool_core::PeerReply;
use sassafrasspool_core::SourceResult;
use sassafrasspool_wire::peer::PeerPool;
use sassafrasspool_wire::platform::Source;
use sassafrasspool_wire::platform::SourceAsk;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::ControlCounts;
use super::ControlEvent;
use super::ControlHandle;
use super::SourceReach;
use super::gate::Gate;
use crate::AuditTrail;
use crate::Shared;
use crate::metrics::names;

/// The node's ways to peers, platform, traffic side and operators.
#[derive(Debug, Clone)]
pub(crate) struct Outside {
    /// What the traffic side reads.
    pub(crate) shared: Arc<Shared>,
    /// Where changes of state are written.
    pub(crate) audit: Arc<AuditTrail>,
    /// Connections to other nodes.
    pub(crate) pool: Arc<PeerPool>,
    /// The platform.
    pub(crate) platform: Arc<dyn Source>,
    /// Whether the platform answers reads.
    pub(crate) reach: Arc<SourceReach>,
    /// Counts of control traffic.
    pub(crate) counts: ControlCounts,
    /// Where results of calls and reads go.
    pub(crate) control: ControlHandle,
    /// What runs beside the control task.
    pub(crate) tasks: TaskTracker,
    /// Ends what runs beside the control task.
    pub(crate) cancel: CancellationToken,
    /// Holds the control side back.
    pub(crate) gate: Gate,
}

impl Outside {
    /// Calls a peer; its answer or failure comes back as an event.
    pub(crate) fn call(&self, call: Call) {
        let outside = self.clone();
        self.spawn(async move {
            let id = call.id;
            let event = match outside.exchange(call).await {
                Some(reply) => Event::Reply { call: id, reply },
                None => Event::CallFailed { call: id },
            };
            outside.control.send(ControlEvent::Spread(event)).await;
        });
    }

    /// Reads the platform; the result comes back as an event.
    pub(crate) fn read(&self, ask: SourceAsk) {
        let stream = ask.stream;
        self.counts.add_read();
        let outside = self.clone();
        self.spawn(async move {
            let result = outside.read_platform(ask).await;
            let name = result_name(&result);
            counter!(names::READS, "stream" => stream.as_str(), "result" => name).increment(1);
            outside.reach.note(stream, &result);
            let event = Event::SourceRead { stream, result };
            outside.control.send(ControlEvent::Spread(event)).await;
        });
    }

    async fn read_platform(&self, ask: SourceAsk) -> SourceResult {
        let result = match self.gate.cuts_platform() {
            true => {
                tokio::time::sleep(ask.wait).await;
                None
            }
            false => Some(self.platform.read(ask).await),
        };
        match result {
            Some(result) if !self.gate.cuts_platform() => result,
            _ => SourceResult::Failed {
                reason: "cut from the platform".to_owned(),
            },
        }
    }

    /// Runs something beside the control task until the node ends.
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
        if self.gate.parts_from(call.addr) {
            tokio::time::sleep(call.timeout).await;
            return None;
        }
        let me = self.shared.me();
        let answer = self
            .pool
            .exchange(call.addr, me, &call.message, call.timeout);
        match answer.await {
            // What was under way when the peers were parted is lost as well.
            Ok(_) if self.gate.parts_from(call.addr) => None,
            Ok(reply) => Some(reply),
            Err(err) => {
                counter!(names::CALLS_FAILED, "step" => err.step().as_str()).increment(1);
                tracing::debug!(%err, kind, "a call failed");
                None
            }
        }
    }
}

fn result_name(result: &SourceResult) -> &'static str {
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
