//! What the handle, the ports and all lives of a target stand-in share.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

use super::counters::Counters;
use super::counters::TargetStats;
use super::health::Health;
use super::health::HealthOverride;
use super::ledger::Ledger;
use super::settings::TargetSettings;
use super::switches::ActiveSwitches;
use super::switches::HealthReport;
use super::switches::TargetSwitches;

/// Settings, switches, slots, counts and the ledger.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) cfg: TargetSettings,
    pub(super) counters: Counters,
    pub(super) ledger: Arc<Ledger>,
    pub(super) slots: Arc<Semaphore>,
    /// Cancelled when the stand-in stops for good.
    pub(super) cancel: CancellationToken,
    switches: Mutex<ActiveSwitches>,
    health: Mutex<HealthOverride>,
}

impl Shared {
    /// No fault switched on, nothing run.
    pub(super) fn new(cfg: TargetSettings, cancel: CancellationToken) -> Shared {
        let slots = usize::try_from(cfg.slots.get()).unwrap_or(Semaphore::MAX_PERMITS);
        Shared {
            counters: Counters::default(),
            ledger: Arc::new(Ledger::new(cfg.ledger_runs)),
            slots: Arc::new(Semaphore::new(slots)),
            cancel,
            switches: Mutex::default(),
            health: Mutex::default(),
            cfg,
        }
    }

    /// The switches as they stand.
    pub(super) fn switches(&self) -> ActiveSwitches {
        *self.switches.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Turns switches; `actual` is the target's true health.
    pub(super) fn apply_switches(&self, switches: &TargetSwitches, actual: Health) {
        self.switches
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .apply(switches);
        if let Some(report) = switches.health {
            self.set_health(report, actual);
        }
        tracing::info!(?switches, "switched");
    }

    /// What the health endpoint reports when `actual` is so.
    pub(super) fn reported_health(&self, actual: Health) -> Health {
        self.health
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .report(actual)
    }

    /// Slots in use.
    pub(super) fn inflight(&self) -> u32 {
        let free = u32::try_from(self.slots.available_permits()).unwrap_or(u32::MAX);
        self.cfg.slots.get().saturating_sub(free)
    }

    /// The counts so far.
    pub(super) fn stats(&self) -> TargetStats {
        self.counters.stats(u64::from(self.inflight()))
    }

    fn set_health(&self, report: HealthReport, actual: Health) {
        let mut health = self.health.lock().unwrap_or_else(PoisonError::into_inner);
        *health = HealthOverride::new(report, actual);
    }
}
