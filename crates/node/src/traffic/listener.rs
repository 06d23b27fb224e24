//! Accepting connections and serving the requests on them, until the node ends.

pub(super) mod listeners;
pub(super) mod running;
pub(super) mod serve;
pub(super) mod threads;
