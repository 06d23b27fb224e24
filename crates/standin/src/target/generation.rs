//! One life of a target, from a start to the next crash.

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

/// What belongs to one start of the target.
#[derive(Debug)]
pub(super) struct Generation {
    pub(super) shared: Arc<Shared>,
    /// Which start this is, from 1.
    pub(super) number: u32,
    /// Cancelled when the target crashes.
    pub(super) crash: CancellationToken,
    /// Its listener, its connections and the work that outlives them.
    pub(super) tasks: TaskTracker,
    /// Whether a request crashed it.
    crashed_by_request: AtomicBool,
    warm_at: Instant,
}

impl Generation {
    /// A life that begins now, with a cold start.
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

    /// Crashes by a request that it runs.
    pub(super) fn crash_by_request(&self) {
        self.crashed_by_request.store(true, Ordering::Relaxed);
        self.crash.cancel();
    }

    /// Whether a request crashed it.
    pub(super) fn was_crashed_by_request(&self) -> bool {
        self.crashed_by_request.load(Ordering::Relaxed)
    }

    /// Whether work is taken now.
    pub(super) fn readiness(&self) -> Readiness {
        if self.shared.switches().drain {
            return Readiness::Draining;
        }
        match Instant::now() < self.warm_at {
            true => Readiness::Cold,
            false => Readiness::Ready,
        }
    }

    /// What is so, whatever is reported.
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
