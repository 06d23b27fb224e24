//! Assigns calls of the local target to the requests for which it makes them.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use http::HeaderMap;
use http::HeaderValue;
use sassafrasspool_core::Deadline;
use sassafrasspool_wire::header::REQUEST_ID;

/// A request that the local target runs.
#[derive(Debug, Clone, Copy)]
pub(super) struct Parent {
    /// Number of nodes that it has passed.
    pub(super) hop: u32,
    /// The deadline, at which the request is abandoned.
    pub(super) deadline: Deadline,
}

/// The requests that the local target runs, by their request id.
///
/// Targets receive none of the headers between nodes, so that they can't forge them.
/// It is enough that a target copies the id of its request into the calls that it makes
/// for the request: the depth is then counted and the deadline reduced.
#[derive(Debug, Clone, Default)]
pub(super) struct Parents(Arc<Mutex<HashMap<HeaderValue, Parent>>>);

impl Parents {
    /// Registers a request until the guard is dropped. Returns `None` for a request without
    /// an id, which is not registered.
    pub(super) fn register(&self, headers: &HeaderMap, parent: Parent) -> Option<ParentGuard> {
        let id = headers.get(REQUEST_ID)?.clone();
        self.lock().insert(id.clone(), parent);
        let parents = self.clone();
        Some(ParentGuard { parents, id })
    }

    /// The request for which a call with these headers is made.
    pub(super) fn find_parent(&self, headers: &HeaderMap) -> Option<Parent> {
        let id = headers.get(REQUEST_ID)?;
        self.lock().get(id).copied()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<HeaderValue, Parent>> {
        // The map is consistent after each insertion and each removal.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Registers a request until it is dropped.
#[derive(Debug)]
pub(super) struct ParentGuard {
    parents: Parents,
    id: HeaderValue,
}

impl Drop for ParentGuard {
    fn drop(&mut self) {
        self.parents.lock().remove(&self.id);
    }
}
