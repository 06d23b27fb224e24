//! The platform's store: items, reads of a prefix, and watches that wait for a change.

use std::collections::BTreeMap;
use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Conn;
use crate::names::fill;
use crate::names::name;
use crate::record::Record;

const ITEM: &str = include_str!("../data/item.json");
const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// How often a waiting watch checks whether its machine is turned away.
const GATE_POLL_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Debug, Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
}

#[derive(Debug)]
struct Change {
    key: String,
    revision: u64,
    /// The item as it was written; `None` if it was removed.
    item: Option<Item>,
}

#[derive(Debug)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    changes: Vec<Change>,
}

/// A store; clones are handles to the same one.
#[derive(Debug, Clone)]
pub(crate) struct Store(Arc<(Mutex<State>, Condvar)>);

/// The store as one machine reaches it.
#[derive(Debug)]
pub(crate) struct Gate {
    /// Whether the store turns the machine away.
    rejects: AtomicBool,
    /// Whether the machine has watched since this was cleared.
    watched: AtomicBool,
    machine: usize,
    record: Record,
}

impl Gate {
    /// Turns the machine away with status 429, or serves it again.
    pub(crate) fn reject(&self, rejects: bool) {
        self.rejects.store(rejects, Ordering::Relaxed);
    }

    /// Whether the machine has watched since the last call.
    pub(crate) fn take_watched(&self) -> bool {
        self.watched.swap(false, Ordering::Relaxed)
    }

    fn is_rejecting(&self) -> bool {
        self.rejects.load(Ordering::Relaxed)
    }
}

impl Store {
    pub(crate) fn new() -> Store {
        let state = State {
            revision: 10,
            items: BTreeMap::new(),
            changes: Vec::new(),
        };
        Store(Arc::new((Mutex::new(state), Condvar::new())))
    }

    /// Writes an item.
    pub(crate) fn put(&self, key: &str, value: &str) {
        let mut state = self.0.0.lock().expect("no holder panics");
        state.revision += 1;
        let revision = state.revision;
        let created = state.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value: base64(value.as_bytes()),
            revision,
            created,
        };
        state.items.insert(key.to_owned(), item.clone());
        state.changes.push(Change {
            key: key.to_owned(),
            revision,
            item: Some(item),
        });
        self.0.1.notify_all();
    }

    /// Removes an item.
    pub(crate) fn remove(&self, key: &str) {
        let mut state = self.0.0.lock().expect("no holder panics");
        if state.items.remove(key).is_none() {
            return;
        }
        state.revision += 1;
        let revision = state.revision;
        state.changes.push(Change {
            key: key.to_owned(),
            revision,
            item: None,
        });
        self.0.1.notify_all();
    }

    /// Serves `addr`, by which one machine reaches the store, until the process ends.
    pub(crate) fn serve(
        &self,
        addr: SocketAddr,
        machine: usize,
        record: &Record,
    ) -> io::Result<Arc<Gate>> {
        let listener = TcpListener::bind(addr)?;
        let store = self.clone();
        let gate = Arc::new(Gate {
            rejects: AtomicBool::new(false),
            watched: AtomicBool::new(false),
            machine,
            record: record.clone(),
        });
        let served = Arc::clone(&gate);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, gate) = (store.clone(), Arc::clone(&served));
                // A connection ends with an error of its reader.
                thread::spawn(move || store.serve_connection(Conn::new(stream), &gate));
            }
        });
        Ok(gate)
    }

    fn serve_connection(&self, mut conn: Conn, gate: &Gate) -> io::Result<()> {
        loop {
            let head = conn.read_head()?;
            conn.read_body(&head)?;
            let target = head.word(1).to_owned();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let rejected = gate.is_rejecting();
            let answer = if rejected { "turned away" } else { "served" };
            let machine = gate.machine;
            let line = format!("store: machine {machine} is {answer}: {target}");
            gate.record.note(&line);
            if rejected {
                let text = "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n";
                conn.stream.write_all(text.as_bytes())?;
                continue;
            }
            let body = if path == name("range_path") {
                Some(self.range(&param(query, "prefix")))
            } else if path == name("watch_path") {
                let number = |key| param(query, key).parse().unwrap_or(0);
                let wait = Duration::from_millis(number("waitMs"));
                gate.watched.store(true, Ordering::Relaxed);
                let events = self.watch(&param(query, "prefix"), number("after"), wait, gate);
                if events.is_none() {
                    // A watch that waits is cut.
                    return Ok(());
                }
                events
            } else {
                None
            };
            let (status, body) = match body {
                Some(body) => ("200 OK", body),
                None => ("404 Not Found", String::new()),
            };
            let len = body.len();
            let text = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {len}\r\n\r\n{body}"
            );
            conn.stream.write_all(text.as_bytes())?;
        }
    }

    fn range(&self, prefix: &str) -> String {
        let state = self.0.0.lock().expect("no holder panics");
        let items = state.items.iter().filter(|it| it.0.starts_with(prefix));
        let items: Vec<String> = items.map(|(key, item)| encode(key, item)).collect();
        let items = items.join(",");
        let revision = state.revision;
        format!("{{\"items\":[{items}],\"truncated\":false,\"asOf\":{revision}}}")
    }

    /// The changes after a revision; `None` once the machine is turned away.
    fn watch(&self, prefix: &str, after: u64, wait: Duration, gate: &Gate) -> Option<String> {
        let until = Instant::now() + wait;
        let mut state = self.0.0.lock().expect("no holder panics");
        loop {
            if gate.is_rejecting() {
                return None;
            }
            let events = state.events(prefix, after);
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return Some(format!("{{\"events\":[{events}],\"asOf\":{revision}}}"));
            }
            let waited = self.0.1.wait_timeout(state, left.min(GATE_POLL_INTERVAL));
            state = waited.expect("no holder panics").0;
        }
    }
}

impl State {
    fn events(&self, prefix: &str, after: u64) -> Vec<String> {
        let matches = |it: &&Change| it.revision > after && it.key.starts_with(prefix);
        let changes = self.changes.iter().filter(matches);
        let encoded = changes.map(|change| match &change.item {
            Some(item) => encode(&change.key, item),
            None => {
                let (key, revision) = (&change.key, change.revision);
                format!("{{\"key\":\"{key}\",\"revision\":{revision},\"removed\":true}}")
            }
        });
        encoded.collect()
    }
}

fn encode(key: &str, item: &Item) -> String {
    let (revision, created) = (item.revision.to_string(), item.created.to_string());
    let values = [
        ("KEY", key),
        ("VALUE", item.value.as_str()),
        ("REVISION", revision.as_str()),
        ("CREATED", created.as_str()),
    ];
    fill(ITEM, &values)
}

/// The value of a query parameter.
fn param(query: &str, key: &str) -> String {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut found = pairs.filter(|pair| pair.0 == key);
    found.next().map_or("", |pair| pair.1).replace("%2F", "/")
}

fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let mut word = [0; 3];
        word[..part.len()].copy_from_slice(part);
        let number = u32::from_be_bytes([0, word[0], word[1], word[2]]);
        for place in 0..4 {
            let digit = (number >> (18 - 6 * place)) & 63;
            match place <= part.len() {
                true => text.push(char::from(ALPHABET[digit as usize])),
                false => text.push('='),
            }
        }
    }
    text
}
