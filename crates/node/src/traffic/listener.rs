//! Accepts connections and serves the requests on them until the node stops.

pub(super) mod listeners;
pub(super) mod running;
pub(super) mod serve;
pub(super) mod threads;
