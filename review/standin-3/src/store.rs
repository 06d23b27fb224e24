//! The platform's store, which nodes read and watch.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;
use crate::http::Reader;
use crate::names::name;

/// How long the store keeps what has changed, by the settings of the platform.
const HISTORY: Duration = Duration::from_secs(20);

/// The most items and bytes of a page, by the platform's page on its protocol.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

#[derive(Debug, Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
}

#[derive(Debug, Clone)]
struct Change {
    at: Instant,
    revision: u64,
    key: String,
    /// The item as it was written; `None` if it was removed.
    item: Option<Item>,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    /// The revision up to which history was dropped.
    dropped: u64,
    items: BTreeMap<String, Item>,
    history: VecDeque<Change>,
    /// The largest answer to a watch in bytes.
    largest_watch: usize,
}

/// A running store; clones are handles to the same one.
#[derive(Debug, Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    addr: SocketAddr,
}

impl Store {
    /// Starts a store at a free port of the host.
    ///
    /// # Errors
    ///
    /// Fails if it can't listen.
    pub fn start(host: &str) -> std::io::Result<Store> {
        let listener = TcpListener::bind((host, 0))?;
        let store = Store {
            state: Arc::default(),
            addr: listener.local_addr()?,
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Its address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// The largest answer to a watch so far, in bytes.
    pub fn largest_watch(&self) -> usize {
        self.state.0.lock().unwrap().largest_watch
    }

    /// Writes a key. The return is the acknowledgement.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        self.change(key, Some(value))
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) -> u64 {
        self.change(key, None)
    }

    fn change(&self, key: &str, value: Option<&str>) -> u64 {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let created = state.items.get(key).map_or(revision, |it| it.created);
        let item = value.map(|value| Item {
            value: base64(value.as_bytes()),
            revision,
            created,
        });
        match &item {
            Some(item) => state.items.insert(key.to_owned(), item.clone()),
            None => state.items.remove(key),
        };
        state.history.push_back(Change {
            at: Instant::now(),
            revision,
            key: key.to_owned(),
            item,
        });
        while state
            .history
            .front()
            .is_some_and(|it| it.at.elapsed() > HISTORY)
        {
            let dropped = state.history.pop_front();
            state.dropped = dropped.map_or(state.dropped, |it| it.revision);
        }
        self.state.1.notify_all();
        revision
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = Reader::new(copy);
        while let Ok(req) = reader.message() {
            let (status, body) = self.answer(&req);
            let first = format!("HTTP/1.1 {status}");
            let fields = [("Content-Type", "application/json")];
            if http::write(&stream, &first, &fields, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, req: &Message) -> (&'static str, String) {
        let (path, query) = req.target().split_once('?').unwrap_or((req.target(), ""));
        let param = |key: &str| {
            let pairs = query.split('&').filter_map(|it| it.split_once('='));
            let mut found = pairs.filter(|(k, _)| *k == key);
            found.next().map(|(_, value)| value.replace("%2F", "/"))
        };
        let prefix = param("prefix").unwrap_or_default();
        let after = param("after");
        if path == name("range_path") {
            return ("200 OK", self.range(&prefix, after.as_deref()));
        }
        if path == name("watch_path") {
            let after = after.and_then(|it| it.parse().ok()).unwrap_or(0);
            let wait = param(name("wait")).and_then(|it| it.parse().ok());
            let wait = Duration::from_millis(wait.unwrap_or(0));
            return self.watch(&prefix, after, wait);
        }
        ("404 Not Found", "{}".to_owned())
    }

    fn range(&self, prefix: &str, after: Option<&str>) -> String {
        let state = self.state.0.lock().unwrap();
        let mut items = Vec::new();
        let mut bytes = 0;
        let mut truncated = false;
        let matching = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix));
        for (key, item) in matching.filter(|(key, _)| after.is_none_or(|it| key.as_str() > it)) {
            if items.len() >= PAGE_ITEMS || bytes >= PAGE_BYTES {
                truncated = true;
                break;
            }
            let text = item_text(key, item);
            bytes += text.len();
            items.push(text);
        }
        let as_of = name("as_of");
        let revision = state.revision;
        let items = items.join(",");
        format!("{{\"items\":[{items}],\"truncated\":{truncated},\"{as_of}\":{revision}}}")
    }

    /// Answers a watch as soon as there is an event, with all events since `after`.
    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (&'static str, String) {
        let until = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        loop {
            if after < state.dropped {
                return ("410 Gone", "{}".to_owned());
            }
            let matching = state.history.iter().filter(|it| it.revision > after);
            let matching = matching.filter(|it| it.key.starts_with(prefix));
            let events: Vec<String> = matching.map(event_text).collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let (as_of, revision) = (name("as_of"), state.revision);
                let events = events.join(",");
                let text = format!("{{\"events\":[{events}],\"{as_of}\":{revision}}}");
                state.largest_watch = state.largest_watch.max(text.len());
                return ("200 OK", text);
            }
            state = self.state.1.wait_timeout(state, until - now).unwrap().0;
        }
    }
}

fn item_text(key: &str, item: &Item) -> String {
    let created = name("created");
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"{created}\":{},\"lease\":0}}",
        item.value, item.revision, item.created
    )
}

fn event_text(change: &Change) -> String {
    match &change.item {
        Some(item) => item_text(&change.key, item),
        None => format!(
            "{{\"key\":\"{}\",\"revision\":{},\"removed\":true}}",
            change.key, change.revision
        ),
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for part in bytes.chunks(3) {
        let byte = |n: usize| u32::from(part.get(n).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for n in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * n) & 63) as usize];
            text.push(if n > part.len() {
                '='
            } else {
                char::from(digit)
            });
        }
    }
    text
}
