//! The log's sink: the shared buffer and the thread that writes it out.

use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use serde::Serialize;

use super::budget::Rank;
use super::buffer::Buffer;
use crate::Clock;

/// How long lines are collected before they are written together. Each write wakes
/// a thread, which costs about as much processor time as a request.
const FLUSH_INTERVAL: Duration = Duration::from_millis(100);

/// How long the end of the process waits for its last lines to be written.
const FINAL_FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// The destination of log lines; a clone is another handle to the same sink.
#[derive(Debug, Clone, Default)]
pub struct LogSink(Option<Arc<Inner>>);

#[derive(Debug)]
struct Inner {
    clock: Clock,
    lines: Mutex<Lines>,
    /// Notified when the buffer gets its first line, when the writer has written the
    /// lines that it took, and by a flush.
    changed: Condvar,
}

#[derive(Debug)]
struct Lines {
    buffer: Buffer,
    /// The writer has taken lines out of the buffer and not written all of them yet.
    writing: bool,
    /// The writer no longer waits for [`FLUSH_INTERVAL`] between two writes.
    ending: bool,
}

impl LogSink {
    /// A sink that discards all lines, for nodes within another program.
    pub const fn silent() -> LogSink {
        LogSink(None)
    }

    /// Starts a thread that writes to `out`, at most about `bytes_per_s`.
    ///
    /// # Errors
    ///
    /// Fails if no thread can be started.
    pub fn start(bytes_per_s: u64, out: impl Write + Send + 'static) -> std::io::Result<LogSink> {
        let inner = Arc::new(Inner {
            clock: Clock::start(),
            lines: Mutex::new(Lines {
                buffer: Buffer::new(bytes_per_s),
                writing: false,
                ending: false,
            }),
            changed: Condvar::new(),
        });
        let writer = Arc::clone(&inner);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || writer.write_to(out))?;
        Ok(LogSink(Some(inner)))
    }

    /// Whether the sink discards all lines.
    pub fn is_silent(&self) -> bool {
        self.0.is_none()
    }

    /// Writes a line of JSON, unless the budget or the buffer is exhausted.
    pub(crate) fn write(&self, rank: Rank, line: &impl Serialize) {
        self.add(rank, |pending| {
            // The types of log lines always serialise. A failure would leave a
            // truncated line in the log.
            let _ = serde_json::to_writer(&mut *pending, line);
            pending.push(b'\n');
        });
    }

    /// Writes a formatted line, which ends with a line feed.
    pub(crate) fn write_text(&self, rank: Rank, line: &[u8]) {
        self.add(rank, |pending| pending.extend_from_slice(line));
    }

    fn add(&self, rank: Rank, write: impl FnOnce(&mut Vec<u8>)) {
        let Some(inner) = &self.0 else {
            return;
        };
        let now = inner.clock.now();
        let mut lines = inner.lock();
        let was_empty = lines.buffer.is_empty();
        let added = lines.buffer.add(now, rank, write);
        if was_empty && added {
            inner.changed.notify_all();
        }
    }

    /// The number of lines dropped since the start, in the order of [`Rank::ALL`]:
    /// state changes, failures, successes.
    pub(crate) fn dropped_lines(&self) -> [u64; 3] {
        let inner = self.0.as_ref();
        inner.map_or([0; 3], |inner| inner.lock().buffer.total_dropped())
    }

    /// Waits until all lines are written, at most for 300 ms.
    pub fn flush(&self) {
        let Some(inner) = &self.0 else {
            return;
        };
        let mut lines = inner.lock();
        lines.ending = true;
        inner.changed.notify_all();
        let pending = |lines: &mut Lines| lines.writing || !lines.buffer.is_empty();
        let waited = inner
            .changed
            .wait_timeout_while(lines, FINAL_FLUSH_TIMEOUT, pending);
        // A stalled reader of the log must not keep the process from ending.
        drop(waited);
    }
}

impl Inner {
    fn write_to(&self, mut out: impl Write) {
        loop {
            let bytes = self.take_lines();
            // A failure of the log itself can't be logged.
            let _ = out.write_all(&bytes).and_then(|()| out.flush());
            let mut lines = self.lock();
            lines.writing = false;
            let ending = lines.ending;
            drop(lines);
            self.changed.notify_all();
            if !ending {
                thread::sleep(FLUSH_INTERVAL);
            }
        }
    }

    /// Waits for pending lines and takes them out of the buffer.
    fn take_lines(&self) -> Vec<u8> {
        let lines = self.lock();
        let is_empty = |lines: &mut Lines| lines.buffer.is_empty();
        let waited = self.changed.wait_while(lines, is_empty);
        let mut lines = waited.unwrap_or_else(PoisonError::into_inner);
        lines.writing = true;
        lines.buffer.take()
    }

    fn lock(&self) -> MutexGuard<'_, Lines> {
        // A panic while a line is added leaves at worst a truncated line.
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
