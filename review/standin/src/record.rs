//! The record of a case: what was sent, answered and run, with its time.

use std::collections::HashMap;
use std::fs::File;
use std::io;
use std::io::BufWriter;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// One request of a caller.
#[derive(Debug, Clone, Default)]
pub(crate) struct Entry {
    /// When its last byte was sent.
    pub(crate) sent_at: Duration,
    /// When its answer was complete, or its connection ended.
    pub(crate) ended_at: Option<Duration>,
    /// The status of a complete answer.
    pub(crate) status: Option<u16>,
    /// The targets that began to run it, and when.
    pub(crate) runs: Vec<(String, Duration)>,
}

#[derive(Debug)]
struct State {
    file: BufWriter<File>,
    entries: HashMap<String, Entry>,
}

/// A record; clones are handles to the same one.
#[derive(Debug, Clone)]
pub(crate) struct Record {
    started: Instant,
    state: Arc<Mutex<State>>,
}

impl Record {
    pub(crate) fn create(path: &Path) -> io::Result<Record> {
        let state = State {
            file: BufWriter::new(File::create(path)?),
            entries: HashMap::new(),
        };
        Ok(Record {
            started: Instant::now(),
            state: Arc::new(Mutex::new(state)),
        })
    }

    /// The time since the record was created.
    pub(crate) fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Writes a line.
    pub(crate) fn note(&self, text: &str) {
        self.update(text, |_| ());
    }

    /// Writes a line and changes the entry of a request.
    pub(crate) fn note_request(&self, id: &str, text: &str, change: impl FnOnce(&mut Entry)) {
        self.update(&format!("{id} {text}"), |entries| {
            change(entries.entry(id.to_owned()).or_default());
        });
    }

    fn update(&self, text: &str, change: impl FnOnce(&mut HashMap<String, Entry>)) {
        let at = self.now().as_secs_f64();
        let mut state = self.state.lock().expect("no holder panics");
        change(&mut state.entries);
        // The exit code doesn't depend on the file.
        let _ = writeln!(state.file, "{at:9.3} {text}");
        let _ = state.file.flush();
    }

    /// All requests by their ids.
    pub(crate) fn entries(&self) -> Vec<(String, Entry)> {
        let state = self.state.lock().expect("no holder panics");
        let mut entries: Vec<_> = state.entries.clone().into_iter().collect();
        entries.sort_by_key(|entry| entry.1.sent_at);
        entries
    }
}
