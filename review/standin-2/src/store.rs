//! The platform's metadata store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Reader;
use crate::wire;

/// An item of the store.
#[derive(Debug, Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
}

/// A change: the item as it was written.
#[derive(Debug, Clone)]
struct Change {
    key: String,
    item: Item,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    changes: Vec<Change>,
}

/// The store. It keeps all of its history.
#[derive(Debug, Clone)]
pub struct Store {
    addr: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts a store on a free port.
    pub fn start(ip: &str) -> std::io::Result<Store> {
        let listener = TcpListener::bind((ip, 0))?;
        let store = Store {
            addr: listener.local_addr()?,
            shared: Arc::default(),
        };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// The address of the store.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Writes an item. Returning is the acknowledgement.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let mut state = self.lock();
        state.revision += 1;
        let revision = state.revision;
        let created = state.items.get(key).map_or(revision, |held| held.created);
        let item = Item {
            value: base64(value.as_bytes()),
            revision,
            created,
        };
        state.items.insert(key.to_owned(), item.clone());
        state.changes.push(Change {
            key: key.to_owned(),
            item,
        });
        self.shared.1.notify_all();
        revision
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = Reader::new(copy);
        while let Ok(Some(head)) = reader.head() {
            let (path, query) = split_target(head.second_word());
            let (status, body) = self.answer(&path, &query);
            let json = [("content-type", "application/json".to_owned())];
            if http::write_answer(&stream, status, &json, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, path: &str, query: &BTreeMap<String, String>) -> (&'static str, String) {
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        if path == wire::name("key_path") {
            return self.answer_key(&text("key"));
        }
        if path == wire::name("range_path") {
            return ("200 OK", self.range(&text("prefix"), &text("after")));
        }
        if path == wire::name("watch_path") {
            let after = text("after").parse().unwrap_or(0);
            let wait = text(wire::name("wait_param")).parse().unwrap_or(0);
            let until = Instant::now() + Duration::from_millis(wait);
            return ("200 OK", self.watch(&text("prefix"), after, until));
        }
        ("404 Not Found", String::new())
    }

    fn answer_key(&self, key: &str) -> (&'static str, String) {
        let state = self.lock();
        match state.items.get(key) {
            Some(item) => {
                let mut vars = item_vars(key, item);
                vars.push(("as_of", state.revision.to_string()));
                ("200 OK", wire::fill("single", &vars))
            }
            None => ("404 Not Found", String::new()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let state = self.lock();
        let found = state.items.iter();
        let found = found.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<String> = found
            .map(|(key, item)| wire::fill("item", &item_vars(key, item)))
            .collect();
        let vars = [
            ("items", items.join(",")),
            ("as_of", state.revision.to_string()),
        ];
        wire::fill("page", &vars)
    }

    fn watch(&self, prefix: &str, after: u64, until: Instant) -> String {
        let mut state = self.lock();
        loop {
            let found = state.changes.iter();
            let found = found.filter(|it| it.item.revision > after && it.key.starts_with(prefix));
            let events: Vec<String> = found.map(change_text).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let vars = [
                    ("events", events.join(",")),
                    ("as_of", state.revision.to_string()),
                ];
                return wire::fill("changes", &vars);
            }
            let waited = self.shared.1.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

fn item_vars(key: &str, item: &Item) -> Vec<wire::Var<'static>> {
    vec![
        ("key", key.to_owned()),
        ("value", item.value.clone()),
        ("revision", item.revision.to_string()),
        ("created", item.created.to_string()),
    ]
}

fn change_text(change: &Change) -> String {
    wire::fill("item", &item_vars(&change.key, &change.item))
}

/// The path and the parameters of a request's target.
fn split_target(target: &str) -> (String, BTreeMap<String, String>) {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(name, value)| (decode(name), decode(value)));
    (path.to_owned(), query.collect())
}

fn decode(text: &str) -> String {
    let mut out = Vec::new();
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        match byte {
            b'+' => out.push(b' '),
            b'%' => {
                let pair: Vec<u8> = bytes.by_ref().take(2).collect();
                let pair = String::from_utf8_lossy(&pair).into_owned();
                out.push(u8::from_str_radix(&pair, 16).unwrap_or(b'?'));
            }
            byte => out.push(byte),
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let padded = [
            chunk[0],
            *chunk.get(1).unwrap_or(&0),
            *chunk.get(2).unwrap_or(&0),
        ];
        let n = padded
            .iter()
            .fold(0u32, |n, byte| (n << 8) | u32::from(*byte));
        for at in 0..4 {
            match at <= chunk.len() {
                true => out.push(char::from(DIGITS[(n >> (18 - 6 * at)) as usize & 63])),
                false => out.push('='),
            }
        }
    }
    out
}
