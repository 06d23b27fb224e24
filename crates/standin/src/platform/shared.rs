//! The state shared by the handle and both ports of a platform stand-in.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use sassafrasspool_core::Revision;
use sassafrasspool_core::Stream;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::settings::PlatformSettings;
use super::state::ReadResult;
use super::state::State;
use super::stats::PlatformStats;
use super::switches::PlatformSwitches;
use super::waiter_count::WaiterCount;

/// The state, and the channel that signals its changes.
#[derive(Debug)]
pub(super) struct Shared {
    state: Mutex<State>,
    changed: watch::Sender<()>,
    waiters: WaiterCount,
    /// Whether values are compressed for readers that accept it.
    pub(super) compress: bool,
    cancel: CancellationToken,
}

impl Shared {
    /// The state before any publication; `cancel` ends every waiting watch.
    pub(super) fn new(cfg: &PlatformSettings, cancel: CancellationToken) -> Shared {
        Shared {
            state: Mutex::new(State::new(cfg, Instant::now())),
            changed: watch::Sender::new(()),
            waiters: WaiterCount::default(),
            compress: cfg.compress,
            cancel,
        }
    }

    /// Locks the state, for reads and counts. [`Shared::change`] also wakes watches.
    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the state and wakes all watches.
    pub(super) fn change<T>(&self, f: impl FnOnce(&mut State, Instant) -> T) -> T {
        let result = f(&mut self.state(), Instant::now());
        self.changed.send_replace(());
        result
    }

    /// Waits up to `wait` for a value newer than `after`, or for an outage. A silent
    /// platform prolongs the wait until it answers again.
    pub(super) async fn watch(
        &self,
        stream: Stream,
        after: Option<Revision>,
        wait: Duration,
    ) -> ReadResult {
        let end = Instant::now() + wait;
        let mut changed = self.changed.subscribe();
        let _guard = self.waiters.enter();
        loop {
            if self.state().silent {
                tokio::select! {
                    _ = changed.changed() => continue,
                    () = self.cancel.cancelled() => return ReadResult::Outage,
                }
            }
            let now = Instant::now();
            let (found, next) = self.find_and_next_change(stream, after, now);
            let is_final = matches!(found, ReadResult::Value(_) | ReadResult::Outage);
            if is_final || now >= end {
                return found;
            }
            let until = next.map_or(end, |next| next.min(end));
            tokio::select! {
                _ = changed.changed() => {}
                () = tokio::time::sleep_until(until) => {}
                () = self.cancel.cancelled() => return ReadResult::Outage,
            }
        }
    }

    /// Blocks a read that arrives while the platform is silent until the platform
    /// stops.
    pub(super) async fn hang_if_silent(&self) {
        let silent = self.state().silent;
        if silent {
            self.cancel.cancelled().await;
        }
    }

    /// Delays an answer by the configured delay, or until the platform stops.
    pub(super) async fn delay_answer(&self) {
        let delay = self.state().answer_delay;
        let sleep = tokio::time::sleep(delay);
        self.cancel.run_until_cancelled(sleep).await;
    }

    /// Applies the switches that are present.
    pub(super) fn apply_switches(&self, switches: &PlatformSwitches) {
        self.change(|state, now| {
            if let Some(outage) = switches.outage {
                state.outage = outage;
            }
            if let Some(silent) = switches.silent {
                state.silent = silent;
            }
            if let Some(stale) = switches.stale {
                state.set_stale(stale, now);
            }
            if let Some(ms) = switches.list_lag_ms {
                state.list_lag = Duration::from_millis(ms);
            }
            if let Some(ms) = switches.answer_delay_ms {
                state.answer_delay = Duration::from_millis(ms);
            }
            if let Some(copy) = switches.restore
                && let Err(err) = state.restore(copy)
            {
                tracing::error!(%err, "the copy can't be restored");
            }
        });
        tracing::info!(?switches, "switched");
    }

    /// The counts so far.
    pub(super) fn stats(&self) -> PlatformStats {
        let state = self.state();
        PlatformStats {
            reads: state.reads.total(),
            reads_peak_per_s: state.reads.peak(),
            refused: state.reads.refused(),
            waiting: self.waiters.count(),
        }
    }

    fn find_and_next_change(
        &self,
        stream: Stream,
        after: Option<Revision>,
        now: Instant,
    ) -> (ReadResult, Option<Instant>) {
        let state = self.state();
        let found = state.find(stream, after, now);
        let next = state.values(stream).next_visible_at(now);
        (found, next)
    }
}
