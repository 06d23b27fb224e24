//! A document as a node holds it.

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
/// The version's digest is that of the items, in key order. A document is
/// never changed; a newer one shares the items that stayed the same.
#[derive(Debug, Clone)]
pub struct Document<T: Item> {
    version: Version,
    items: BTreeMap<T::Key, Arc<Digested<T>>>,
}

/// An item with its digest, which is computed once.
#[derive(Debug)]
struct Digested<T> {
    item: T,
    digest: Digest,
}

impl<T: Item> Document<T> {
    /// Makes a document of all items of a revision.
    ///
    /// # Errors
    ///
    /// Fails if a key stands twice or an item can't be encoded.
    pub fn new(revision: Revision, items: impl IntoIterator<Item = T>) -> Result<Document<T>> {
        let mut held = BTreeMap::new();
        for item in items {
            let key = item.key();
            if held.insert(key.clone(), digested(item)?).is_some() {
                return Err(Error::new(Step::Check, format!("{key} stands twice")));
            }
        }
        Ok(Document::from_held(revision, held))
    }

    /// Revision and digest of this document.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The item of that key.
    pub fn get(&self, key: &T::Key) -> Option<&T> {
        self.items.get(key).map(|held| &held.item)
    }

    /// All items in key order.
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        self.items.values().map(|held| &held.item)
    }

    /// How many items there are.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// What turns this document into `newer`.
    pub fn delta_to(&self, newer: &Document<T>) -> Delta<T> {
        let changed = |held: &Digested<T>| match self.items.get(&held.item.key()) {
            Some(old) => old.digest != held.digest,
            None => true,
        };
        let put = newer.items.values().filter(|held| changed(held));
        let removed = self
            .items
            .keys()
            .filter(|key| !newer.items.contains_key(key));
        Delta {
            base: self.version,
            target: newer.version,
            put: put.map(|held| held.item.clone()).collect(),
            remove: removed.cloned().collect(),
        }
    }

    /// The document that `delta` leads to; this one stays as it is.
    ///
    /// # Errors
    ///
    /// Fails if the delta was made from another base, or if the result hasn't
    /// the digest that the delta promises.
    pub fn apply(&self, delta: &Delta<T>) -> Result<Document<T>> {
        if delta.base != self.version {
            return Err(Error::new(
                Step::Delta,
                format!("made from {}, but {} is held", delta.base, self.version),
            ));
        }
        let mut items = self.items.clone();
        for key in &delta.remove {
            items.remove(key);
        }
        for item in &delta.put {
            items.insert(item.key(), digested(item.clone())?);
        }
        let newer = Document::from_held(delta.target.revision(), items);
        newer.checked(delta.target)
    }

    /// This document if it is the version that was announced.
    ///
    /// # Errors
    ///
    /// Fails if revision or digest differ: the content was mixed up or
    /// damaged on its way, and nothing of it may be used.
    pub fn checked(self, announced: Version) -> Result<Document<T>> {
        if self.version != announced {
            return Err(Error::new(
                Step::Delta,
                format!("gives {}, but {announced} was announced", self.version),
            ));
        }
        Ok(self)
    }

    fn from_held(revision: Revision, items: BTreeMap<T::Key, Arc<Digested<T>>>) -> Document<T> {
        let digest = Digest::of_all(items.values().map(|held| &held.digest));
        // INVARIANT: The digest was just taken over the items.
        Document {
            version: Version::new(revision, digest),
            items,
        }
    }
}

fn digested<T: Item>(item: T) -> Result<Arc<Digested<T>>> {
    let digest = item.digest()?;
    Ok(Arc::new(Digested { item, digest }))
}
