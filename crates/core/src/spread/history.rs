//! Changes that are kept for peers that are behind.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::Body;
use crate::Delta;
use crate::Document;
use crate::Item;
use crate::Result;
use crate::Stream;
use crate::Version;

/// Maximum number of encoded bodies cached for the held version.
const MAX_CACHED_BODIES: usize = 8;

/// The last changes of a stream, bounded by count and size.
///
/// # Invariants
///
/// The target of each change is the base of the next; the target of the last
/// change and of all cached bodies is the held version.
#[derive(Debug)]
pub(super) struct History<T: Item> {
    stream: Stream,
    max_count: usize,
    max_bytes: usize,
    changes: VecDeque<Change<T>>,
    bytes: usize,
    cached: Vec<Body>,
}

#[derive(Debug)]
struct Change<T: Item> {
    delta: Delta<T>,
    bytes: usize,
}

impl<T: Item> History<T> {
    pub(super) fn new(stream: Stream, max_count: usize, max_bytes: usize) -> History<T> {
        History {
            stream,
            max_count,
            max_bytes,
            changes: VecDeque::new(),
            bytes: 0,
            cached: Vec::new(),
        }
    }

    /// Records the change from the old document to the new one.
    pub(super) fn advance(&mut self, old: Option<&Document<T>>, new: &Document<T>) {
        self.cached.clear();
        let Some(old) = old else {
            return;
        };
        let delta = old.delta_to(new);
        match Body::delta(self.stream, delta.clone()) {
            Ok(body) => self.add(delta, body),
            // The delta exceeds the size of a body: peers get the full
            // document, and the history restarts behind this change.
            Err(_) => {
                self.changes.clear();
                self.bytes = 0;
            }
        }
    }

    fn add(&mut self, delta: Delta<T>, body: Body) {
        let bytes = body.bytes.len();
        // INVARIANT: The delta leads from the document held before to the held
        // one.
        self.changes.push_back(Change { delta, bytes });
        self.bytes += bytes;
        self.cached.push(body);
        self.evict_to_bounds();
    }

    /// The body that leads from `base` to the held document: a delta if the
    /// history reaches back to `base` and the delta puts at most half of the
    /// items, else the full document.
    pub(super) fn body_since(&mut self, base: Option<Version>, held: &Document<T>) -> Result<Body> {
        if let Some(found) = self.cached.iter().find(|body| body.base == base) {
            return Ok(found.clone());
        }
        let delta = base.and_then(|base| self.compose_since(base));
        let body = match delta {
            Some(delta) if delta.put.len() <= held.len() / 2 => Body::delta(self.stream, delta)?,
            _ => self.full_body(held)?,
        };
        self.cache(&body);
        Ok(body)
    }

    fn full_body(&self, held: &Document<T>) -> Result<Body> {
        match self.cached.iter().find(|body| body.base.is_none()) {
            Some(found) => Ok(found.clone()),
            None => Body::whole(self.stream, held),
        }
    }

    fn cache(&mut self, body: &Body) {
        if self.cached.iter().any(|cached| cached.base == body.base) {
            return;
        }
        if self.cached.len() == MAX_CACHED_BODIES {
            self.cached.remove(0);
        }
        self.cached.push(body.clone());
    }

    /// All changes since `base` as one delta; the last change of a key counts.
    fn compose_since(&self, base: Version) -> Option<Delta<T>> {
        let from = |change: &Change<T>| change.delta.base == base;
        let start = self.changes.iter().position(from)?;
        let target = self.changes.back()?.delta.target;
        let mut last = BTreeMap::new();
        for change in self.changes.iter().skip(start) {
            for key in &change.delta.remove {
                last.insert(key.clone(), None);
            }
            for item in &change.delta.put {
                last.insert(item.key(), Some(item));
            }
        }
        let put = last.values().copied().flatten().cloned().collect();
        let removed = last.into_iter().filter(|(_, item)| item.is_none());
        Some(Delta {
            base,
            target,
            put,
            remove: removed.map(|(key, _)| key).collect(),
        })
    }

    fn evict_to_bounds(&mut self) {
        while self.changes.len() > self.max_count || self.bytes > self.max_bytes {
            match self.changes.pop_front() {
                Some(oldest) => self.bytes -= oldest.bytes,
                None => return,
            }
        }
    }
}
