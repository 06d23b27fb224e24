//! Room for bodies of requests that are held.

use std::sync::Arc;

use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

use super::bounds::MAX_HELD_BYTES;
use super::bounds::MAX_REPLAY_BYTES;

#[cfg(test)]
mod tests;

/// Bytes that are counted as one.
const UNIT: u64 = 1_024;

/// The memory that bodies of requests may take on one node.
#[derive(Debug)]
pub(super) struct Bodies(Arc<Semaphore>);

/// The room that one body takes, given back when the last copy is gone.
#[derive(Debug, Clone)]
pub(super) struct Room(
    #[expect(dead_code, reason = "held for its drop")] Arc<OwnedSemaphorePermit>,
);

impl Bodies {
    /// Room for [`MAX_HELD_BYTES`], all of it free.
    pub(super) fn new() -> Bodies {
        let units = usize::try_from(MAX_HELD_BYTES / UNIT);
        Bodies(Arc::new(Semaphore::new(units.unwrap_or(0))))
    }

    /// Room for a body of that size, if it isn't too large and there is some.
    pub(super) fn room(&self, bytes: u64) -> Option<Room> {
        if bytes > MAX_REPLAY_BYTES {
            return None;
        }
        let units = u32::try_from(bytes.div_ceil(UNIT)).ok()?;
        let room = Arc::clone(&self.0).try_acquire_many_owned(units).ok()?;
        Some(Room(Arc::new(room)))
    }
}
