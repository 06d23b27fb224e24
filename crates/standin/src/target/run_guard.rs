//! A run under way, which ends in the ledger however it ends.

use std::sync::Arc;

use tokio_util::sync::CancellationToken;

use super::ledger::Ledger;
use super::ledger::RunKey;
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
    key: Option<RunKey>,
    crash: CancellationToken,
    at: RunEnd,
}

impl RunGuard {
    /// Enters a run whose request body is coming in. `crash` is cancelled
    /// when the target crashes.
    pub(super) fn receive(ledger: Arc<Ledger>, run: Run, crash: CancellationToken) -> RunGuard {
        let key = ledger.enter(run);
        RunGuard {
            ledger,
            key,
            crash,
            at: RunEnd::Receiving,
        }
    }

    /// The whole request is here, the work begins.
    pub(super) fn begin(&mut self, received_bytes: u64) {
        let now_us = self.ledger.clock.now_us();
        self.enter(RunEnd::Running, |run| {
            run.started_us = now_us;
            run.received_bytes = received_bytes;
        });
    }

    /// The work is done to its end.
    pub(super) fn worked(&mut self) {
        self.enter(RunEnd::Answering, |run| run.finished = true);
    }

    /// The work is done and will never be answered.
    pub(super) fn hang(&mut self) {
        self.close(RunEnd::Hung, None);
    }

    /// The request's time was over during the work.
    pub(super) fn time_out(&mut self, status: u16) {
        self.close(RunEnd::TimedOut, Some(status));
    }

    /// The head of the answer is given.
    pub(super) fn answer(&mut self, status: u16) {
        self.enter(RunEnd::Answering, |run| run.status = Some(status));
    }

    /// The last byte of the answer is handed over.
    pub(super) fn finish(&mut self) {
        self.close(RunEnd::Finished, None);
    }

    fn close(&mut self, end: RunEnd, status: Option<u16>) {
        let now_us = self.ledger.clock.now_us();
        self.enter(end, |run| {
            run.ended_us = Some(now_us);
            run.status = status.or(run.status);
        });
    }

    fn enter(&mut self, at: RunEnd, f: impl FnOnce(&mut Run)) {
        self.at = at;
        let Some(key) = self.key else { return };
        self.ledger.update(key, |run| {
            run.end = at;
            f(run);
        });
    }

    fn abandoned(&self) -> Option<RunEnd> {
        match self.at {
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
        if let Some(end) = self.abandoned() {
            self.close(end, None);
        }
    }
}
