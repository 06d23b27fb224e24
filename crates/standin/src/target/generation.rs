//! One generation of a target, from a start to the next crash.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::counters::get;
use super::health::Health;
use super::health::Load;
use super::health::Readiness;
use super::shared::Shared;

/// The state of one generation of the target.
#[derive(Debug)]
pub(super) struct Generation {
    pub(super) shared: Arc<Shared>,
    /// The number of this start, from 1.
    pub(super) number: u32,
    /// Cancelled when the target crashes.
    pub(super) crash: CancellationToken,
    /// The listener, the connections and the work that outlives a connection.
    pub(super) tasks: TaskTracker,
    /// Whether a request crashed this generation.
    crashed_by_request: AtomicBool,
    warm_at: Instant,
}

impl Generation {
    /// A generation that starts now, with a cold start.
    pub(super) fn new(shared: Arc<Shared>, number: u32) -> Generation {
        let warm_at = Instant::now() + shared.cfg.cold_start();
        Generation {
            shared,
            number,
            crash: CancellationToken::new(),
            tasks: TaskTracker::new(),
            crashed_by_request: AtomicBool::new(false),
            warm_at,
        }
    }

    /// Crashes this generation on behalf of a request that it runs.
    pub(super) fn crash_by_request(&self) {
        self.crashed_by_request.store(true, Ordering::Relaxed);
        self.crash.cancel();
    }

    /// Whether a request crashed this generation.
    pub(super) fn was_crashed_by_request(&self) -> bool {
        self.crashed_by_request.load(Ordering::Relaxed)
    }

    /// Whether work is accepted now.
    pub(super) fn readiness(&self) -> Readiness {
        if self.shared.switches().drain {
            return Readiness::Draining;
        }
        match Instant::now() < self.warm_at {
            true => Readiness::Cold,
            false => Readiness::Ready,
        }
    }

    /// The actual health, regardless of a `HealthReport` override.
    pub(super) fn actual_health(&self) -> Health {
        let load = Load {
            inflight: self.shared.inflight(),
            slots: self.shared.cfg.slots.get(),
            connections: get(&self.shared.counters.connections),
        };
        Health {
            readiness: self.readiness(),
            load,
        }
    }
}
