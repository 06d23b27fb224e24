//! The state shared by the handle, the ports and all generations of a target.

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

/// The settings, switches, slots, counters and ledger of a target.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) cfg: TargetSettings,
    pub(super) counters: Counters,
    pub(super) ledger: Arc<Ledger>,
    pub(super) slots: Arc<Semaphore>,
    /// Cancelled when the stand-in stops and won't restart.
    pub(super) cancel: CancellationToken,
    switches: Mutex<ActiveSwitches>,
    health: Mutex<HealthOverride>,
}

impl Shared {
    /// The state before the first run, with all faults switched off.
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

    /// The current switches.
    pub(super) fn switches(&self) -> ActiveSwitches {
        *self.switches.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies the switches that are present; `actual` is the target's actual
    /// health.
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

    /// The health to report when the actual health is `actual`.
    pub(super) fn reported_health(&self, actual: Health) -> Health {
        self.health
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .report(actual)
    }

    /// The number of slots in use.
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
