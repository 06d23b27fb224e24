//! Counters of bytes.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Bytes read from and written to all sockets that share these counters.
#[derive(Debug, Default)]
pub struct SocketBytes {
    read: AtomicU64,
    written: AtomicU64,
}

impl SocketBytes {
    /// Bytes read so far.
    pub fn read(&self) -> u64 {
        self.read.load(Ordering::Relaxed)
    }

    /// Bytes written so far.
    pub fn written(&self) -> u64 {
        self.written.load(Ordering::Relaxed)
    }

    pub(super) fn add_read(&self, n: usize) {
        self.read.fetch_add(n as u64, Ordering::Relaxed);
    }

    pub(super) fn add_written(&self, n: usize) {
        self.written.fetch_add(n as u64, Ordering::Relaxed);
    }
}
