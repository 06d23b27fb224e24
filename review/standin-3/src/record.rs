//! The record of a run: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

/// Writes lines with the milliseconds since the start of the run.
#[derive(Debug, Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    /// Creates the record file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be created.
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record {
            file: Arc::new(Mutex::new(File::create(path)?)),
            start: Instant::now(),
        })
    }

    /// Milliseconds since the start of the run.
    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Writes one line and returns its time.
    pub fn line(&self, text: impl AsRef<str>) -> u64 {
        let mut file = self.file.lock().unwrap();
        let now = self.now_ms();
        let _ = writeln!(file, "{now:>7} {}", text.as_ref());
        now
    }
}
