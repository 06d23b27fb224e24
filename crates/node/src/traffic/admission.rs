//! Slots beside the target.

use std::sync::Arc;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::time::Duration;

use sassafrasspool_core::LoadReport;
use sassafrasspool_core::Reason;
use sassafrasspool_core::Refusal;
use sassafrasspool_core::Step;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

/// Requests that wait for each slot at most.
const QUEUE_PER_SLOT: u16 = 2;

/// Gives out the slots of the target.
#[derive(Debug)]
pub(super) struct Admission {
    slots: u16,
    free: Arc<Semaphore>,
    queued: AtomicU16,
}

impl Admission {
    pub(super) fn new(slots: u32) -> Admission {
        let slots = u16::try_from(slots).unwrap_or(u16::MAX);
        Admission {
            slots,
            free: Arc::new(Semaphore::new(usize::from(slots))),
            queued: AtomicU16::new(0),
        }
    }

    /// Waits for a slot, at most for `patience`.
    ///
    /// # Errors
    ///
    /// Refuses at once if too many wait, and when the time is up.
    pub(super) async fn admit(&self, patience: Duration) -> Result<Permit, Refusal> {
        if let Ok(permit) = Arc::clone(&self.free).try_acquire_owned() {
            return Ok(Permit(permit));
        }
        let _place = Place::try_new(self)?;
        let acquire = Arc::clone(&self.free).acquire_owned();
        match tokio::time::timeout(patience, acquire).await {
            Ok(Ok(permit)) => Ok(Permit(permit)),
            _ => Err(refuse(Reason::QueueTimeout)),
        }
    }

    /// The load as it is now.
    pub(super) fn load(&self) -> LoadReport {
        let free = u16::try_from(self.free.available_permits()).unwrap_or(u16::MAX);
        LoadReport {
            in_flight: self.slots.saturating_sub(free),
            slots: self.slots,
            queued: self.queued.load(Ordering::Relaxed),
        }
    }
}

fn refuse(reason: Reason) -> Refusal {
    Refusal::not_run(Step::Admission, reason)
}

/// A slot; it is free again when this is dropped.
#[derive(Debug)]
pub(super) struct Permit(#[expect(dead_code, reason = "held for its drop")] OwnedSemaphorePermit);

/// A place in the queue.
#[derive(Debug)]
struct Place<'a>(&'a Admission);

impl<'a> Place<'a> {
    fn try_new(admission: &'a Admission) -> Result<Place<'a>, Refusal> {
        let before = admission.queued.fetch_add(1, Ordering::Relaxed);
        let place = Place(admission);
        if before >= admission.slots.saturating_mul(QUEUE_PER_SLOT) {
            return Err(refuse(Reason::QueueFull));
        }
        Ok(place)
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.0.queued.fetch_sub(1, Ordering::Relaxed);
    }
}
