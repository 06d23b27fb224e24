//! The record of a run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

/// A file with one line for each event, with the seconds since the start.
#[derive(Debug)]
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record {
            start: Instant::now(),
            file: Mutex::new(File::create(path)?),
        })
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// The moment so many seconds after the start.
    pub fn at(&self, seconds: f64) -> Instant {
        self.start + Duration::from_secs_f64(seconds)
    }

    /// Waits until so many seconds after the start.
    pub fn sleep_until(&self, seconds: f64) {
        let left = self.at(seconds).saturating_duration_since(Instant::now());
        std::thread::sleep(left);
    }

    /// Writes a line.
    pub fn write(&self, text: &str) {
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        if let Err(err) = writeln!(file, "{:8.3} {text}", self.now()) {
            eprintln!("record: {err}");
        }
    }

    /// Writes a line to the record and to standard output.
    pub fn note(&self, text: &str) {
        println!("{:8.3} {text}", self.now());
        self.write(text);
    }
}
