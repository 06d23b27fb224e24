//! The buffer and the thread that writes it.

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

/// How long lines are collected before they are written together: each write
/// wakes a thread, which costs a request's worth of processor time.
const FLUSH_INTERVAL: Duration = Duration::from_millis(100);

/// How long the end of the process waits for its last lines to be written.
const LAST_LINES: Duration = Duration::from_millis(300);

/// Where log lines go; cloning it gives another handle to the same.
#[derive(Debug, Clone, Default)]
pub struct LogSink(Option<Arc<Inner>>);

#[derive(Debug)]
struct Inner {
    clock: Clock,
    lines: Mutex<Lines>,
    /// Rung when there is something to write, and when all of it was written.
    rung: Condvar,
}

#[derive(Debug)]
struct Lines {
    buffer: Buffer,
    /// The writer has taken lines and not written all of them yet.
    writing: bool,
    /// Lines are to be written at once.
    ending: bool,
}

impl LogSink {
    /// A sink that writes nothing, for nodes within another program.
    pub const fn silent() -> LogSink {
        LogSink(None)
    }

    /// Starts to write to `out`, at most about `bytes_per_s`.
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
            rung: Condvar::new(),
        });
        let writer = Arc::clone(&inner);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || writer.write_to(out))?;
        Ok(LogSink(Some(inner)))
    }

    /// Whether anything is written.
    pub fn is_silent(&self) -> bool {
        self.0.is_none()
    }

    /// Writes a line of JSON, unless the budget is used up.
    pub(crate) fn write(&self, rank: Rank, line: &impl Serialize) {
        self.add(rank, |waiting| {
            // What is told serialises; half a line would show as such.
            let _ = serde_json::to_writer(&mut *waiting, line);
            waiting.push(b'\n');
        });
    }

    /// Writes a line that is formatted already and ends with a line feed.
    pub(crate) fn write_text(&self, rank: Rank, line: &[u8]) {
        self.add(rank, |waiting| waiting.extend_from_slice(line));
    }

    fn add(&self, rank: Rank, write: impl FnOnce(&mut Vec<u8>)) {
        let Some(inner) = &self.0 else {
            return;
        };
        let now = inner.clock.now();
        let mut lines = inner.lock();
        let first = lines.buffer.is_empty();
        let added = lines.buffer.add(now, rank, write);
        if first && added {
            inner.rung.notify_all();
        }
    }

    /// Lines that were left out so far: of state, of failures, of successes.
    pub(crate) fn left_out(&self) -> [u64; 3] {
        let inner = self.0.as_ref();
        inner.map_or([0; 3], |inner| inner.lock().buffer.total_left_out())
    }

    /// Waits a moment for what was told to be written.
    pub fn flush(&self) {
        let Some(inner) = &self.0 else {
            return;
        };
        let mut lines = inner.lock();
        lines.ending = true;
        inner.rung.notify_all();
        let pending = |lines: &mut Lines| lines.writing || !lines.buffer.is_empty();
        let waited = inner.rung.wait_timeout_while(lines, LAST_LINES, pending);
        // A reader that stands still must not keep the process from ending.
        drop(waited);
    }
}

impl Inner {
    fn write_to(&self, mut out: impl Write) {
        loop {
            let bytes = self.next();
            // Nobody can be told that the log can't be written.
            let _ = out.write_all(&bytes).and_then(|()| out.flush());
            let mut lines = self.lock();
            lines.writing = false;
            let ending = lines.ending;
            drop(lines);
            self.rung.notify_all();
            if !ending {
                thread::sleep(FLUSH_INTERVAL);
            }
        }
    }

    /// Waits for lines and takes them.
    fn next(&self) -> Vec<u8> {
        let lines = self.lock();
        let nothing = |lines: &mut Lines| lines.buffer.is_empty();
        let waited = self.rung.wait_while(lines, nothing);
        let mut lines = waited.unwrap_or_else(PoisonError::into_inner);
        lines.writing = true;
        lines.buffer.take()
    }

    fn lock(&self) -> MutexGuard<'_, Lines> {
        // A line that panicked halfway is at worst a broken line.
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
