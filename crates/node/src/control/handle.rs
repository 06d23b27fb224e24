//! Sending events to the control task.

use sassafrasspool_core::Error;
use sassafrasspool_core::Result;
use sassafrasspool_core::SpreadStatus;
use sassafrasspool_core::Step;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use super::ControlEvent;

/// Sends events to the control task, which may have ended.
#[derive(Debug, Clone)]
pub(crate) struct ControlHandle {
    tx: mpsc::Sender<ControlEvent>,
}

impl ControlHandle {
    pub(crate) fn new(tx: mpsc::Sender<ControlEvent>) -> ControlHandle {
        ControlHandle { tx }
    }

    /// Sends an event, waiting for space in the queue; false if the task has
    /// ended.
    pub(crate) async fn send(&self, event: ControlEvent) -> bool {
        self.tx.send(event).await.is_ok()
    }

    /// Sends an event without waiting; false if the queue is full or the task
    /// has ended.
    pub(crate) fn try_send(&self, event: ControlEvent) -> bool {
        self.tx.try_send(event).is_ok()
    }

    /// Queries the dissemination status.
    ///
    /// # Errors
    ///
    /// Fails if the control task has ended.
    pub(crate) async fn status(&self) -> Result<SpreadStatus> {
        let (tx, rx) = oneshot::channel();
        self.send(ControlEvent::Status(tx)).await;
        rx.await
            .map_err(|_| Error::new(Step::Admin, "the node has ended"))
    }
}
