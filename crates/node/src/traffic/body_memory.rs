//! Memory for request bodies that are buffered.

use std::sync::Arc;

use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

use super::bounds::MAX_BUFFERED_BYTES;
use super::bounds::MAX_REPLAY_BYTES;

#[cfg(test)]
mod tests;

/// Bytes of one unit, in which the memory is counted.
const UNIT_BYTES: u64 = 1_024;

/// The memory that buffered request bodies may take on one node.
#[derive(Debug)]
pub(super) struct BodyMemory(Arc<Semaphore>);

/// The memory reserved for one body, released when the last clone is dropped.
#[derive(Debug, Clone)]
pub(super) struct MemoryReservation(
    #[expect(dead_code, reason = "held for its drop")] Arc<OwnedSemaphorePermit>,
);

impl BodyMemory {
    /// Memory of [`MAX_BUFFERED_BYTES`], all of it free.
    pub(super) fn new() -> BodyMemory {
        let units = usize::try_from(MAX_BUFFERED_BYTES / UNIT_BYTES);
        BodyMemory(Arc::new(Semaphore::new(units.unwrap_or(0))))
    }

    /// Reserves memory for a body of that size. Returns `None` if the body is too large or
    /// there is not enough free memory.
    pub(super) fn reserve(&self, bytes: u64) -> Option<MemoryReservation> {
        if bytes > MAX_REPLAY_BYTES {
            return None;
        }
        let units = u32::try_from(bytes.div_ceil(UNIT_BYTES)).ok()?;
        let permit = Arc::clone(&self.0).try_acquire_many_owned(units).ok()?;
        Some(MemoryReservation(Arc::new(permit)))
    }
}
