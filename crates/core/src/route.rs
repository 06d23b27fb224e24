//! Load balancing: choosing the endpoint that a request is sent to.
//!
//! [`Meters`] holds what a node knows of endpoints and outlives every snapshot: the node's
//! own requests in flight, the load that answers reported, and failures. A [`Picker`] binds
//! the meters to one snapshot. It prefers endpoints in the node's own failure domain, then
//! those in its region, then the others. Within each of these tiers it chooses the one of
//! least cost, by load and latency, among some that are drawn at random, and spills over to
//! the next tier if that one is full. For large answers the delay of an endpoint's link counts
//! as load, too.

pub use self::locality::Locality;
pub use self::meters::Intake;
pub use self::meters::Meters;
pub use self::picked::Picked;
pub use self::picker::Picker;
pub use self::settings::RouteSettings;

pub(crate) use self::rendezvous::Score;

mod candidate;
mod demand;
mod locality;
mod meter;
mod meters;
mod picked;
mod picker;
mod rate;
mod relative_latency;
mod rendezvous;
mod service;
mod settings;
mod subset;
#[cfg(test)]
mod tests;

/// Converts percent to a share of 1.
fn percent_to_share(n: u32) -> f32 {
    n as f32 / 100.0
}
