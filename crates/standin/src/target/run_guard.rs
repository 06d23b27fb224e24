//! A run under way, which ends in the ledger however it ends.

use std::sync::Arc;

use tokio_util::sync::CancellationToken;

use super::ledger::Ledger;
use super::ledger::RunIndex;
use super::run::Run;
use super::run::RunEnd;

/// Keeps one entry of the ledger up to date.
///
/// A caller that hangs up and a target that crashes both drop the future that
/// serves the request. The entry would then stay open for ever; dropping this
/// guard closes it with what is known.
#[derive(Debug)]
pub(super) struct RunGuard {
    ledger: Arc<Ledger>,
    index: Option<RunIndex>,
    crash: CancellationToken,
    state: RunEnd,
}

impl RunGuard {
    /// Enters a run whose request body is coming in. `crash` is cancelled
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

    /// The whole request is here, the work begins.
    pub(super) fn begin_work(&mut self, received_bytes: u64) {
        let now_us = self.ledger.clock.now_us();
        self.set_state(RunEnd::Running, |run| {
            run.started_us = now_us;
            run.received_bytes = received_bytes;
        });
    }

    /// The work is done to its end.
    pub(super) fn finish_work(&mut self) {
        self.set_state(RunEnd::Answering, |run| run.finished = true);
    }

    /// The work is done and will never be answered.
    pub(super) fn record_hang(&mut self) {
        self.close(RunEnd::Hung, None);
    }

    /// The request's time was over during the work.
    pub(super) fn record_timeout(&mut self, status: u16) {
        self.close(RunEnd::TimedOut, Some(status));
    }

    /// The head of the answer is given.
    pub(super) fn begin_answer(&mut self, status: u16) {
        self.set_state(RunEnd::Answering, |run| run.status = Some(status));
    }

    /// The last byte of the answer is handed over.
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
