//! Snapshots: a catalogue bound to an instance list, used to route requests.
//!
//! A snapshot is built completely or not at all, and is immutable. A route contains
//! a typed key of a service of the same snapshot, so a route without its service
//! can't be represented.

pub use self::endpoint::Endpoint;
pub use self::endpoint::EndpointKey;
pub use self::index::Snapshot;
pub use self::route::BoundRoute;
pub use self::route::BoundShare;
pub use self::service::BoundService;
pub use self::service::ServiceKey;

pub(crate) use self::check::check_across_entries;

mod build;
mod check;
mod endpoint;
mod index;
mod route;
mod service;
mod table;
#[cfg(test)]
mod tests;
