//! What the handle, the ports and all lives of a target stand-in share.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

use super::counters::Counters;
use super::counters::TargetStats;
use super::health::Health;
use super::health::HealthSwitch;
use super::ledger::Ledger;
use super::settings::TargetSettings;
use super::switches::HealthReport;
use super::switches::Switched;
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
    switched: Mutex<Switched>,
    health: Mutex<HealthSwitch>,
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
            switched: Mutex::default(),
            health: Mutex::default(),
            cfg,
        }
    }

    /// The switches as they stand.
    pub(super) fn switched(&self) -> Switched {
        *self.switched.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Turns switches; `so` is the target's true health.
    pub(super) fn switch(&self, switches: &TargetSwitches, so: Health) {
        self.switched
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .turn(switches);
        if let Some(report) = switches.health {
            self.set_health(report, so);
        }
        tracing::info!(?switches, "switched");
    }

    /// What the health endpoint reports when `so` is so.
    pub(super) fn reported(&self, so: Health) -> Health {
        self.health
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .report(so)
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

    fn set_health(&self, report: HealthReport, so: Health) {
        let mut health = self.health.lock().unwrap_or_else(PoisonError::into_inner);
        *health = HealthSwitch::new(report, so);
    }
}
