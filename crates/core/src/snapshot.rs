//! What a request is routed by: a catalogue and an instance list, bound.
//!
//! A snapshot is built whole or not at all, and never changes. A route holds
//! a typed key of a service of the same snapshot, so that a route without its
//! service can't be expressed.

pub use self::endpoint::Endpoint;
pub use self::endpoint::EndpointKey;
pub use self::route::BoundRoute;
pub use self::route::BoundShare;
pub use self::service::BoundService;
pub use self::service::ServiceKey;
pub use self::whole::Snapshot;

pub(crate) use self::check::check_across_entries;

mod build;
mod check;
mod endpoint;
mod route;
mod service;
mod table;
#[cfg(test)]
mod tests;
mod whole;
