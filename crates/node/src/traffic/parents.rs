//! Which call a call of the own target belongs to.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use http::HeaderMap;
use http::HeaderValue;
use sassafrasspool_core::Deadline;
use sassafrasspool_wire::header::REQUEST_ID;

/// A request that runs in the own target.
#[derive(Debug, Clone, Copy)]
pub(super) struct Parent {
    /// How many nodes it has passed.
    pub(super) hop: u32,
    /// When it is given up.
    pub(super) deadline: Deadline,
}

/// The requests that run in the own target, by the id that they carry.
///
/// Targets get none of the headers between nodes, so that they can't forge
/// them. A target that passes the id of its request on in the calls that it
/// makes for it is enough to count the depth and to shrink the deadline.
#[derive(Debug, Clone, Default)]
pub(super) struct Parents(Arc<Mutex<HashMap<HeaderValue, Parent>>>);

impl Parents {
    /// Notes a request for as long as the guard lives; nothing to note if it
    /// has no id.
    pub(super) fn enter(&self, headers: &HeaderMap, parent: Parent) -> Option<Running> {
        let id = headers.get(REQUEST_ID)?.clone();
        self.lock().insert(id.clone(), parent);
        let parents = self.clone();
        Some(Running { parents, id })
    }

    /// The request that a call with these headers is made for.
    pub(super) fn of(&self, headers: &HeaderMap) -> Option<Parent> {
        let id = headers.get(REQUEST_ID)?;
        self.lock().get(id).copied()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<HeaderValue, Parent>> {
        // A map of copies is whole after each of the two changes.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request that is noted.
#[derive(Debug)]
pub(super) struct Running {
    parents: Parents,
    id: HeaderValue,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.parents.lock().remove(&self.id);
    }
}
