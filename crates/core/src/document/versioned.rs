//! An immutable set of items under one version.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::Delta;
use crate::Digest;
use crate::Error;
use crate::Item;
use crate::Result;
use crate::Revision;
use crate::Step;
use crate::Version;

/// A keyed set of items under one version.
///
/// # Invariants
///
/// The version's digest is computed over the items in key order. A document is
/// immutable; a newer document shares the unchanged items.
#[derive(Debug, Clone)]
pub struct Document<T: Item> {
    version: Version,
    items: BTreeMap<T::Key, Arc<Digested<T>>>,
}

/// An item with its digest, which is computed only once.
#[derive(Debug)]
struct Digested<T> {
    item: T,
    digest: Digest,
}

impl<T: Item> Document<T> {
    /// Creates a document from all items of a revision.
    ///
    /// # Errors
    ///
    /// Fails on a duplicate key or if an item can't be encoded.
    pub fn new(revision: Revision, items: impl IntoIterator<Item = T>) -> Result<Document<T>> {
        let mut by_key = BTreeMap::new();
        for item in items {
            let key = item.key();
            if by_key.insert(key.clone(), with_digest(item)?).is_some() {
                return Err(Error::new(Step::Check, format!("duplicate key {key}")));
            }
        }
        Ok(Document::from_items(revision, by_key))
    }

    /// The revision and digest of this document.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The item with that key.
    pub fn get(&self, key: &T::Key) -> Option<&T> {
        self.items.get(key).map(|entry| &entry.item)
    }

    /// All items in key order.
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        self.items.values().map(|entry| &entry.item)
    }

    /// The number of items.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether the document has no items.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// The delta from this document to `newer`.
    pub fn delta_to(&self, newer: &Document<T>) -> Delta<T> {
        let changed = |entry: &Digested<T>| match self.items.get(&entry.item.key()) {
            Some(old) => old.digest != entry.digest,
            None => true,
        };
        let put = newer.items.values().filter(|entry| changed(entry));
        let removed = self
            .items
            .keys()
            .filter(|key| !newer.items.contains_key(key));
        Delta {
            base: self.version,
            target: newer.version,
            put: put.map(|entry| entry.item.clone()).collect(),
            remove: removed.cloned().collect(),
        }
    }

    /// Returns the document that results from applying `delta` to this one.
    ///
    /// # Errors
    ///
    /// Fails if the delta has another base version, or if the digest of the
    /// result differs from the digest in the delta.
    pub fn apply(&self, delta: &Delta<T>) -> Result<Document<T>> {
        if delta.base != self.version {
            return Err(Error::new(
                Step::Delta,
                format!(
                    "delta is based on {}, but the held version is {}",
                    delta.base, self.version
                ),
            ));
        }
        let mut items = self.items.clone();
        for key in &delta.remove {
            items.remove(key);
        }
        for item in &delta.put {
            items.insert(item.key(), with_digest(item.clone())?);
        }
        let newer = Document::from_items(delta.target.revision(), items);
        newer.verify_version(delta.target)
    }

    /// Returns this document if its version equals the announced version.
    ///
    /// # Errors
    ///
    /// Fails if the revision or the digest differs. The content was then mixed
    /// up or damaged in transit, and no part of it may be used.
    pub fn verify_version(self, announced: Version) -> Result<Document<T>> {
        if self.version != announced {
            return Err(Error::new(
                Step::Delta,
                format!(
                    "content has version {}, but {announced} was announced",
                    self.version
                ),
            ));
        }
        Ok(self)
    }

    fn from_items(revision: Revision, items: BTreeMap<T::Key, Arc<Digested<T>>>) -> Document<T> {
        let digest = Digest::of_all(items.values().map(|entry| &entry.digest));
        // INVARIANT: The digest was just computed over the items.
        Document {
            version: Version::new(revision, digest),
            items,
        }
    }
}

fn with_digest<T: Item>(item: T) -> Result<Arc<Digested<T>>> {
    let digest = item.digest()?;
    Ok(Arc::new(Digested { item, digest }))
}
