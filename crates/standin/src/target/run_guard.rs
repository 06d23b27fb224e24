//! Records the end of a run in the ledger, also if its future is dropped.

use std::sync::Arc;

use tokio_util::sync::CancellationToken;

use super::ledger::Ledger;
use super::ledger::RunIndex;
use super::run::Run;
use super::run::RunEnd;

/// Updates the ledger entry of one run.
///
/// The future that serves a request is dropped when the caller disconnects and
/// when the target crashes. The entry would then stay open for ever. Dropping this
/// guard closes it with the end that follows from the last state.
#[derive(Debug)]
pub(super) struct RunGuard {
    ledger: Arc<Ledger>,
    index: Option<RunIndex>,
    crash: CancellationToken,
    state: RunEnd,
}

impl RunGuard {
    /// Records a run whose request body is being received. `crash` is cancelled
    /// when the target crashes.
    pub(super) fn start(ledger: Arc<Ledger>, run: Run, crash: CancellationToken) -> RunGuard {
        let index = ledger.record(run);
        RunGuard {
            ledger,
            index,
            crash,
            state: RunEnd::Receiving,
        }
    }

    /// Records that the request is completely received and the work begins.
    pub(super) fn begin_work(&mut self, received_bytes: u64) {
        let now_us = self.ledger.clock.now_us();
        self.set_state(RunEnd::Running, |run| {
            run.started_us = now_us;
            run.received_bytes = received_bytes;
        });
    }

    /// Records that the work is completed.
    pub(super) fn finish_work(&mut self) {
        self.set_state(RunEnd::Answering, |run| run.finished = true);
    }

    /// Records that the work is completed and will never be answered.
    pub(super) fn record_hang(&mut self) {
        self.close(RunEnd::Hung, None);
    }

    /// Records that the request's timeout expired during the work.
    pub(super) fn record_timeout(&mut self, status: u16) {
        self.close(RunEnd::TimedOut, Some(status));
    }

    /// Records the status of the answer.
    pub(super) fn begin_answer(&mut self, status: u16) {
        self.set_state(RunEnd::Answering, |run| run.status = Some(status));
    }

    /// Records that the last byte of the answer is handed to the connection.
    pub(super) fn finish(&mut self) {
        self.close(RunEnd::Finished, None);
    }

    fn close(&mut self, end: RunEnd, status: Option<u16>) {
        let now_us = self.ledger.clock.now_us();
        self.set_state(end, |run| {
            run.ended_us = Some(now_us);
            run.status = status.or(run.status);
        });
    }

    fn set_state(&mut self, state: RunEnd, f: impl FnOnce(&mut Run)) {
        self.state = state;
        let Some(index) = self.index else { return };
        self.ledger.update(index, |run| {
            run.end = state;
            f(run);
        });
    }

    fn end_if_dropped(&self) -> Option<RunEnd> {
        match self.state {
            RunEnd::Receiving => Some(RunEnd::RequestCut),
            RunEnd::Running if self.crash.is_cancelled() => Some(RunEnd::Crashed),
            RunEnd::Running => Some(RunEnd::Cancelled),
            RunEnd::Answering => Some(RunEnd::AnswerCut),
            _ => None,
        }
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if let Some(end) = self.end_if_dropped() {
            self.close(end, None);
        }
    }
}
